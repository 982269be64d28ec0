"""Tests of filbertdrift."""
