//! Cuts between the machines of a deployment.

use sablehaven_faults::Faults;
use sablehaven_types::RegionName;

use crate::{Deployment, Node};

impl Deployment {
    /// Every node of the product: control replicas, relays and agents.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.control.iter().chain(&self.relays).chain(&self.agents)
    }

    /// Cuts a node off from every other one, silently and in both directions. Callers and operators
    /// still reach it.
    pub fn cut_off(&self, node: &Node) {
        self.cut_between(|name| name == node.name());
    }

    /// Cuts the nodes of a region off from those of the others, silently and in both directions.
    /// Back ends stay reachable.
    pub fn cut_off_region(&self, region: &RegionName) {
        let inside: Vec<&str> = self
            .nodes()
            .filter(|node| node.placement().region == *region)
            .map(Node::name)
            .collect();
        self.cut_between(|name| inside.contains(&name));
    }

    /// Ends every cut and every other fault of the proxies.
    pub fn heal(&self) {
        for node in self.nodes() {
            node.http_proxy().heal();
            node.internal_proxy().heal();
            for other in self.nodes() {
                node.internal_proxy().heal_from(other.source());
            }
        }
    }

    fn cut_between(&self, is_inside: impl Fn(&str) -> bool) {
        for node in self.nodes() {
            let elsewhere = self
                .nodes()
                .filter(|other| is_inside(other.name()) != is_inside(node.name()));
            for other in elsewhere {
                node.internal_proxy()
                    .set_faults_from(other.source(), Faults::freeze());
            }
        }
    }
}
