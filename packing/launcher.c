/* Runs the Python program that is appended to this executable.
 *
 * The file is this ELF image followed by a ZIP archive. The last 16 bytes are
 * the archive comment, which contains the offset and size of libpython. The
 * launcher loads libpython from an anonymous in-memory file. The archive is the
 * only entry of sys.path. The launcher does not fork, does not execute another
 * image and writes only the in-memory file.
 */
#define _GNU_SOURCE
#include <Python.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/sendfile.h>
#include <unistd.h>

#define SELF_PATH "/proc/self/exe"

static void *libpython;

static void fail(const char *operation) {
    perror(operation);
    exit(1);
}

static void *load_symbol(const char *name) {
    void *address = dlsym(libpython, name);
    if (address == NULL) {
        fprintf(stderr, "%s\n", dlerror());
        exit(1);
    }
    return address;
}

static void load_libpython(void) {
    uint64_t location[2];
    int self_fd = open(SELF_PATH, O_RDONLY | O_CLOEXEC);
    if (self_fd < 0) {
        fail(SELF_PATH);
    }
    off_t end = lseek(self_fd, -(off_t)sizeof location, SEEK_END);
    if (end < 0 || read(self_fd, location, sizeof location) !=
                       sizeof location) {
        fail("cannot read the archive comment");
    }
    int memory_fd = memfd_create("libpython", MFD_CLOEXEC);
    if (memory_fd < 0) {
        fail("memfd_create");
    }
    off_t offset = (off_t)location[0];
    uint64_t remaining = location[1];
    while (remaining > 0) {
        ssize_t copied = sendfile(memory_fd, self_fd, &offset, remaining);
        if (copied <= 0) {
            fail("sendfile");
        }
        remaining -= (uint64_t)copied;
    }
    close(self_fd);
    char path[64];
    snprintf(path, sizeof path, "/proc/self/fd/%d", memory_fd);
    /* Extension modules resolve the Python API in the global symbol scope. */
    libpython = dlopen(path, RTLD_NOW | RTLD_GLOBAL);
    if (libpython == NULL) {
        fprintf(stderr, "%s\n", dlerror());
        exit(1);
    }
}

int main(int argc, char **argv) {
    load_libpython();
    __typeof__(&PyPreConfig_InitIsolatedConfig) init_preconfig =
        load_symbol("PyPreConfig_InitIsolatedConfig");
    __typeof__(&Py_PreInitialize) preinitialize =
        load_symbol("Py_PreInitialize");
    __typeof__(&PyConfig_InitIsolatedConfig) init_config =
        load_symbol("PyConfig_InitIsolatedConfig");
    __typeof__(&PyConfig_SetString) set_string =
        load_symbol("PyConfig_SetString");
    __typeof__(&PyConfig_SetBytesArgv) set_argv =
        load_symbol("PyConfig_SetBytesArgv");
    __typeof__(&PyWideStringList_Append) append_wide_string =
        load_symbol("PyWideStringList_Append");
    __typeof__(&Py_InitializeFromConfig) initialize =
        load_symbol("Py_InitializeFromConfig");
    __typeof__(&PyStatus_Exception) is_exception =
        load_symbol("PyStatus_Exception");
    __typeof__(&Py_ExitStatusException) exit_status =
        load_symbol("Py_ExitStatusException");
    __typeof__(&Py_RunMain) run_main = load_symbol("Py_RunMain");

    PyPreConfig preconfig;
    init_preconfig(&preconfig);
    preconfig.utf8_mode = 1;
    PyStatus status = preinitialize(&preconfig);
    if (is_exception(status)) {
        exit_status(status);
    }

    PyConfig config;
    init_config(&config);
    config.site_import = 0;
    config.write_bytecode = 0;
    config.install_signal_handlers = 1;
    config.parse_argv = 0;
    config.module_search_paths_set = 1;
    append_wide_string(&config.module_search_paths, L"" SELF_PATH);
    set_string(&config, &config.executable, L"" SELF_PATH);
    set_string(&config, &config.prefix, L"" SELF_PATH);
    set_string(&config, &config.exec_prefix, L"" SELF_PATH);
    set_string(&config, &config.stdlib_dir, L"" SELF_PATH);
    set_string(&config, &config.run_filename, L"" SELF_PATH);
    status = set_argv(&config, argc, argv);
    if (!is_exception(status)) {
        status = initialize(&config);
    }
    if (is_exception(status)) {
        exit_status(status);
    }
    return run_main();
}
