//! The process beside each caller: caller interface, query plan, fan-out, merge and coverage.
