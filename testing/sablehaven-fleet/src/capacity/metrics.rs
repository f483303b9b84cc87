//! Counters from a process's metrics page.

use sablehaven_harness::Node;

use crate::world::FleetError;

/// A metrics page as text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MetricsPage(String);

impl MetricsPage {
    /// A page from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The value of the first metric of this name without labels.
    pub fn value(&self, name: &str) -> Option<f64> {
        let lines = self.0.lines().filter(|line| !line.starts_with('#'));
        let mut pairs = lines.filter_map(|line| line.split_once(' '));
        let (_, value) = pairs.find(|(found, _)| *found == name)?;
        value.trim().parse().ok()
    }
}

/// Reads a node's metrics, past its proxy.
pub(super) async fn read(node: &Node) -> Result<MetricsPage, FleetError> {
    let failed = |reason: String| FleetError::step("read metrics", reason);
    let address = node.process().and_then(|process| process.addresses().http);
    let address = address.ok_or_else(|| failed(format!("{} has no address", node.name())))?;
    let response = reqwest::get(format!("http://{address}/metrics")).await;
    let response = response.map_err(|error| failed(error.to_string()))?;
    let text = response.text().await;
    Ok(MetricsPage(
        text.map_err(|error| failed(error.to_string()))?,
    ))
}

/// One value of a node's metrics.
pub(super) async fn value(node: &Node, name: &str) -> Result<f64, FleetError> {
    let page = read(node).await?;
    let missing = || FleetError::step("read metrics", format!("{} has no {name}", node.name()));
    page.value(name).ok_or_else(missing)
}
