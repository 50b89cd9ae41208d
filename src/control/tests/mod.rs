//! Tests of the control thread.
