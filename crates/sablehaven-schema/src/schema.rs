//! A parsed schema: places, services, methods.

use std::{collections::BTreeMap, fmt};

use prost_reflect::{FieldDescriptor, FileDescriptor, MessageDescriptor};
use sablehaven_types::{RegionName, SchemaSource, ServiceName, ZoneName};

use crate::{
    compile::{Source, compile},
    problem::SchemaProblem,
    rules::Checker,
};

/// A deployment's schema, checked.
#[derive(Clone)]
pub struct DeploymentSchema {
    source: SchemaSource,
    file: FileDescriptor,
    regions: Vec<RegionSchema>,
    services: BTreeMap<ServiceName, ServiceSchema>,
}

impl DeploymentSchema {
    /// Compiles and checks a schema's text.
    ///
    /// `file_name` is used in problems only. On failure every problem that was found is given, in
    /// the order of the text; options are checked once the text compiles.
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

    /// [`Self::parse`] of a configuration's schema.
    pub fn from_source(source: &SchemaSource) -> Result<Self, Vec<SchemaProblem>> {
        Self::parse(&source.file_name, &source.text)
    }

    /// The text that was parsed.
    pub fn source(&self) -> &SchemaSource {
        &self.source
    }

    /// The schema's file, with every message.
    pub fn file(&self) -> &FileDescriptor {
        &self.file
    }

    /// The regions, in the order of the file.
    pub fn regions(&self) -> &[RegionSchema] {
        &self.regions
    }

    /// The region that a zone belongs to.
    pub fn region_of_zone(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|region| region.zones.contains(zone))
            .map(|region| &region.name)
    }

    /// The services, by name.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &ServiceSchema> {
        self.services.values()
    }

    /// One service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSchema> {
        self.services.get(service)
    }

    /// One method of a service, by its name alone.
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
    /// The region.
    pub name: RegionName,
    /// Its zones, in the order of the file.
    pub zones: Vec<ZoneName>,
}

/// A service and its methods.
#[derive(Clone, Debug)]
pub struct ServiceSchema {
    /// `<package>.<Service>`.
    pub name: ServiceName,
    /// The most shards that a partition map may have.
    pub maximum_shards: u32,
    /// The fewest replicas that a shard may have.
    pub minimum_replicas: u32,
    /// The methods, in the order of the file.
    pub methods: Vec<MethodSchema>,
}

impl ServiceSchema {
    /// One method, by its name.
    pub fn method(&self, name: &str) -> Option<&MethodSchema> {
        self.methods.iter().find(|method| method.name == name)
    }
}

/// A method and how its calls are run.
#[derive(Clone, Debug)]
pub struct MethodSchema {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The method's own name.
    pub name: String,
    /// `/<package>.<Service>/<Method>`.
    pub path: String,
    /// How calls are run.
    pub kind: MethodKind,
    /// Time for the whole call where the caller names none, in milliseconds.
    pub deadline_ms: u64,
    /// The request.
    pub input: MessageDescriptor,
    /// The reply.
    pub output: MessageDescriptor,
}

/// How calls of a method are run.
#[derive(Clone, Debug, PartialEq)]
pub enum MethodKind {
    /// Asks every shard and merges the replies; may be repeated.
    Query {
        /// The merge.
        merge: Merge,
    },
    /// Asks the one shard that the key belongs to; may be repeated.
    Lookup {
        /// The key, a field of the request.
        key: FieldDescriptor,
    },
    /// Asks the one shard that the key belongs to; may not be repeated.
    Once {
        /// The key, a field of the request.
        key: FieldDescriptor,
    },
}

/// How the shards' replies become one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Merge {
    /// One rule for each field of the reply.
    pub rules: Vec<FieldMerge>,
}

/// How one field of the reply is merged.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldMerge {
    /// The shards' lists one after the other.
    Concatenate {
        /// The repeated field of the reply.
        field: FieldDescriptor,
        /// How the whole list is sorted; `None` keeps the order of the shards.
        order: Option<ElementOrder>,
    },
    /// The best elements of the shards' lists.
    TopK {
        /// The repeated field of the reply.
        field: FieldDescriptor,
        /// Which elements are better.
        order: ElementOrder,
        /// How many are kept.
        limit: Limit,
    },
    /// The sum of the shards' numbers.
    Sum {
        /// The number in the reply.
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

/// The order of a list's elements. Elements equal in both fields keep the order of the shards.
#[derive(Clone, Debug, PartialEq)]
pub struct ElementOrder {
    /// The field that is compared.
    pub by: FieldDescriptor,
    /// Whether the largest comes first.
    pub descending: bool,
    /// The field that decides between equal ones, ascending.
    pub tie_break: Option<FieldDescriptor>,
}

/// How many elements are kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The field of the request that says how many; `None` means always the default.
    pub field: Option<FieldDescriptor>,
    /// How many where the request says 0.
    pub default: u32,
    /// A request for more is refused.
    pub maximum: u32,
}
