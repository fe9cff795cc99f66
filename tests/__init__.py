"""Tests of mallowloft."""
