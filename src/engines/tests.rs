//! Tests of the dialects come with the guard's fakes.
