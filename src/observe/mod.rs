//! Metrics, logs and explanations of what was decided.
