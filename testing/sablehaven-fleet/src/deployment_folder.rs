//! Finds a deployment's folder.

use std::path::{Path, PathBuf};

use crate::world::FleetError;

/// The folder of deployments at the root of the repository.
const DEPLOYMENTS: &str = "deployments";

/// The file that every deployment's folder holds.
const SCHEMA_FILE: &str = "schema.proto";

/// The folder of a deployment: a path, or a name under `deployments/` in the current folder or in the
/// repository that the program was built from.
pub fn find(name: &str) -> Result<PathBuf, FleetError> {
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let candidates = [
        PathBuf::from(name),
        Path::new(DEPLOYMENTS).join(name),
        repository.join(DEPLOYMENTS).join(name),
    ];
    let found = candidates
        .into_iter()
        .find(|path| path.join(SCHEMA_FILE).is_file());
    found.ok_or_else(|| FleetError::step("find deployment", format!("no folder '{name}'")))
}
