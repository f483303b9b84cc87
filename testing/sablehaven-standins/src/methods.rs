//! The methods of a deployment's schema, as stand-ins need them.

use std::collections::HashMap;

use prost_reflect::MessageDescriptor;
use sablehaven_history::CallKind;
use sablehaven_types::ServiceName;

/// One method.
#[derive(Clone, Debug)]
pub struct Method {
    /// The service.
    pub service: ServiceName,
    /// The method's name within the service.
    pub name: String,
    /// How it may be executed.
    pub kind: CallKind,
    /// The request message.
    pub input: MessageDescriptor,
    /// The reply message.
    pub output: MessageDescriptor,
}

impl Method {
    /// The HTTP path, `/<package>.<Service>/<Method>`.
    pub fn path(&self) -> String {
        format!("/{}/{}", self.service, self.name)
    }
}

/// All methods by service and name.
#[derive(Clone, Debug, Default)]
pub struct MethodTable {
    methods: HashMap<(String, String), Method>,
}

impl MethodTable {
    /// A table of these methods.
    pub fn new(methods: impl IntoIterator<Item = Method>) -> Self {
        let keyed = methods.into_iter().map(|method| {
            let key = (method.service.0.clone(), method.name.clone());
            (key, method)
        });
        Self {
            methods: keyed.collect(),
        }
    }

    /// Finds a method.
    pub fn find(&self, service: &str, method: &str) -> Option<&Method> {
        self.methods.get(&(service.to_owned(), method.to_owned()))
    }

    /// All methods, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Method> {
        self.methods.values()
    }
}

impl MethodTable {
    /// The methods of a deployment's schema; an error lists every problem of the schema.
    pub fn from_schema(_source: &sablehaven_types::SchemaSource) -> Result<Self, String> {
        Err("not yet".to_owned())
    }
}
