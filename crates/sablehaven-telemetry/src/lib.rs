//! The in-memory log ring and the metrics registry.
