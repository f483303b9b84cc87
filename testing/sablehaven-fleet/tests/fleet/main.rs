//! Tests of the fleet tool's pure parts.

mod capacity;
mod experiment_file;
mod figures;
mod measure;
