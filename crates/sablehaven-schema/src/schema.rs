//! A parsed schema: its regions, services and methods.

use std::{collections::BTreeMap, fmt};

use prost_reflect::{FieldDescriptor, FileDescriptor, MessageDescriptor};
use sablehaven_types::{RegionName, SchemaSource, ServiceName, ZoneName};

use crate::{
    compile::{Source, compile},
    problem::SchemaProblem,
    rules::Checker,
};

/// A valid deployment schema.
#[derive(Clone)]
pub struct DeploymentSchema {
    source: SchemaSource,
    file: FileDescriptor,
    regions: Vec<RegionSchema>,
    services: BTreeMap<ServiceName, ServiceSchema>,
}

impl DeploymentSchema {
    /// Compiles and validates a schema.
    ///
    /// `file_name` is the name that problems show. On failure, returns all problems that were found, in
    /// the order of the text. Options are validated only if the text compiles.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Vec<SchemaProblem>> {
        let source = Source { file_name, text };
        let compiled = compile(source)?;
        let checked = Checker::new(source, &compiled).check()?;
        Ok(Self {
            source: SchemaSource {
                file_name: file_name.to_owned(),
                text: text.to_owned(),
            },
            file: compiled.file,
            regions: checked.regions,
            services: checked.services,
        })
    }

    /// Parses the schema of a configuration; see [`Self::parse`].
    pub fn from_source(source: &SchemaSource) -> Result<Self, Vec<SchemaProblem>> {
        Self::parse(&source.file_name, &source.text)
    }

    /// The text and file name from which the schema was parsed.
    pub fn source(&self) -> &SchemaSource {
        &self.source
    }

    /// The descriptor of the schema file, which contains all of its messages.
    pub fn file(&self) -> &FileDescriptor {
        &self.file
    }

    /// The regions, in file order.
    pub fn regions(&self) -> &[RegionSchema] {
        &self.regions
    }

    /// The region that contains a zone.
    pub fn region_of_zone(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|region| region.zones.contains(zone))
            .map(|region| &region.name)
    }

    /// All services, ordered by name.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &ServiceSchema> {
        self.services.values()
    }

    /// The service with the given full name.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSchema> {
        self.services.get(service)
    }

    /// A method of a service, by its unqualified name.
    pub fn method(&self, service: &ServiceName, method: &str) -> Option<&MethodSchema> {
        self.services.get(service)?.method(method)
    }

    /// The method at an HTTP path `/<package>.<Service>/<Method>`.
    pub fn method_at(&self, path: &str) -> Option<&MethodSchema> {
        let (service, method) = path.strip_prefix('/')?.split_once('/')?;
        self.method(&ServiceName::from(service), method)
    }
}

impl fmt::Debug for DeploymentSchema {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("DeploymentSchema")
            .field("file_name", &self.source.file_name)
            .field("regions", &self.regions)
            .field("services", &self.services.keys())
            .finish_non_exhaustive()
    }
}

/// A region and its zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSchema {
    /// The region's name.
    pub name: RegionName,
    /// Its zones, in file order.
    pub zones: Vec<ZoneName>,
}

/// A service and its methods.
#[derive(Clone, Debug)]
pub struct ServiceSchema {
    /// The full name, `<package>.<Service>`.
    pub name: ServiceName,
    /// The maximum number of shards in a partition map.
    pub maximum_shards: u32,
    /// The minimum number of replicas of a shard.
    pub minimum_replicas: u32,
    /// The methods, in file order.
    pub methods: Vec<MethodSchema>,
}

impl ServiceSchema {
    /// The method with the given unqualified name.
    pub fn method(&self, name: &str) -> Option<&MethodSchema> {
        self.methods.iter().find(|method| method.name == name)
    }
}

/// A method and how its calls are executed.
#[derive(Clone, Debug)]
pub struct MethodSchema {
    /// The full name of its service.
    pub service: ServiceName,
    /// The unqualified name.
    pub name: String,
    /// The HTTP path, `/<package>.<Service>/<Method>`.
    pub path: String,
    /// How calls are executed.
    pub kind: MethodKind,
    /// The time limit for the whole call if the caller sets no deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The request message type.
    pub input: MessageDescriptor,
    /// The reply message type.
    pub output: MessageDescriptor,
}

/// How calls of a method are executed.
#[derive(Clone, Debug, PartialEq)]
pub enum MethodKind {
    /// Sent to every shard; the replies are merged. Safe to retry.
    Query {
        /// How the replies are merged.
        merge: Merge,
    },
    /// Sent to the shard that holds the key. Safe to retry.
    Lookup {
        /// The key, a field of the request.
        key: FieldDescriptor,
    },
    /// Sent to the shard that holds the key. Must not be executed more than once.
    Once {
        /// The key, a field of the request.
        key: FieldDescriptor,
    },
}

/// How the shards' replies are merged into one.
#[derive(Clone, Debug, PartialEq)]
pub struct Merge {
    /// One rule for each field of the reply.
    pub rules: Vec<FieldMerge>,
}

/// How one field of the reply is merged.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldMerge {
    /// The concatenation of the shards' lists.
    Concatenate {
        /// The repeated field of the reply.
        field: FieldDescriptor,
        /// How the concatenated list is sorted; `None` keeps the order of the shards.
        order: Option<ElementOrder>,
    },
    /// The first elements of all shards' lists in sort order.
    TopK {
        /// The repeated field of the reply.
        field: FieldDescriptor,
        /// The sort order.
        order: ElementOrder,
        /// How many elements are kept.
        limit: Limit,
    },
    /// The sum of the shards' numbers.
    Sum {
        /// The numeric field of the reply.
        field: FieldDescriptor,
    },
}

impl FieldMerge {
    /// The field of the reply.
    pub fn field(&self) -> &FieldDescriptor {
        match self {
            Self::Concatenate { field, .. } | Self::TopK { field, .. } | Self::Sum { field } => {
                field
            }
        }
    }
}

/// The sort order of a list's elements.
///
/// Elements that are equal in both fields keep the order of the shards.
#[derive(Clone, Debug, PartialEq)]
pub struct ElementOrder {
    /// The field by which elements are sorted.
    pub by: FieldDescriptor,
    /// Whether the largest value of `by` comes first.
    pub descending: bool,
    /// The field that orders elements with equal `by`, ascending.
    pub tie_break: Option<FieldDescriptor>,
}

/// The number of elements that a top-k merge keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The request field that contains the limit; `None` means that the default always applies.
    pub field: Option<FieldDescriptor>,
    /// The limit if the request field is 0 or `field` is `None`.
    pub default: u32,
    /// The maximum; a request with a higher limit is rejected.
    pub maximum: u32,
}
