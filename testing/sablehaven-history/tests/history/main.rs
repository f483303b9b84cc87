//! Tests of the checkers and of the journal, over one small history that each test changes.

mod checkers;
mod journal;
mod story;
