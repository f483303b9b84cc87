//! Runs a deployment as real processes on one machine: demonstrates it, loads it, compares it with a
//! plain baseline, checks recorded histories and measures the slopes of the capacity page.

pub mod capacity;
pub mod command_line;
pub mod demo_command;
pub mod deployment_folder;
pub mod describe;
pub mod experiment;
pub mod load_command;
pub mod measure;
pub mod progress;
pub mod run_command;
pub mod world;
