//! Placement, admission, fairness, retry and quarantine decisions, without input or output.
