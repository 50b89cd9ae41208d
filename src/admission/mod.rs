//! Admission: which requests may enter, and in what order they go.
