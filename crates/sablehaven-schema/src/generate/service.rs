//! Generates the service clients.

use std::fmt::Write;

use prost_build::{Comments, Method, Service, ServiceGenerator};
use sablehaven_types::ServiceName;

use crate::schema::{DeploymentSchema, MethodKind, MethodSchema};

/// Generates a client for each service.
pub(super) struct ClientGenerator {
    schema: DeploymentSchema,
}

impl ClientGenerator {
    /// Creates a generator for the services of a schema.
    pub(super) fn new(schema: DeploymentSchema) -> Self {
        Self { schema }
    }

    fn method_schema(&self, service: &Service, method: &Method) -> Option<&MethodSchema> {
        let name = ServiceName(format!("{}.{}", service.package, service.proto_name));
        self.schema.method(&name, &method.proto_name)
    }
}

impl ServiceGenerator for ClientGenerator {
    fn generate(&mut self, service: Service, buffer: &mut String) {
        let methods: String = service
            .methods
            .iter()
            .filter_map(|method| {
                Some(generate_method(
                    method,
                    self.method_schema(&service, method)?,
                ))
            })
            .collect();
        let text = format!(
            r"
            /// Client of the service `{full_name}`.
            {comments}
            #[derive(Clone, Debug)]
            pub struct {name}Client {{
                agent: ::sablehaven_client::AgentConnection,
            }}
            impl {name}Client {{
                /// Creates a client that calls the service through an agent.
                pub fn new(agent: ::sablehaven_client::AgentConnection) -> Self {{
                    Self {{ agent }}
                }}
                {methods}
            }}
            ",
            full_name = format_args!("{}.{}", service.package, service.proto_name),
            comments = paragraph(&service.comments),
            name = service.name,
        );
        buffer.push_str(&text);
    }
}

fn generate_method(method: &Method, schema: &MethodSchema) -> String {
    let (key_parameter, key_argument) = match &schema.kind {
        MethodKind::Once { .. } => ("key: &::sablehaven_client::RequestKey,", "Some(key)"),
        MethodKind::Query { .. } | MethodKind::Lookup { .. } => ("", "None"),
    };
    format!(
        r"
        /// {summary}
        {comments}
        pub async fn {name}(
            &self,
            {key_parameter}
            request: &{input},
            options: ::sablehaven_client::CallOptions,
        ) -> Result<
            ::sablehaven_client::Envelope<{output}>,
            ::sablehaven_client::CallError,
        > {{
            let method = ::sablehaven_client::MethodInfo {{
                path: {path:?},
                deadline_ms: {deadline_ms},
            }};
            self.agent.call(method, {key_argument}, request, options).await
        }}
        ",
        summary = summary(schema),
        comments = paragraph(&method.comments),
        name = method.name,
        input = method.input_type,
        output = method.output_type,
        path = schema.path,
        deadline_ms = schema.deadline_ms,
    )
}

/// The first paragraph of a method's doc comment.
fn summary(schema: &MethodSchema) -> String {
    let routing = match &schema.kind {
        MethodKind::Query { .. } => "sent to every shard and safe to retry".to_owned(),
        MethodKind::Lookup { key } => {
            format!("sent to the shard of `{}` and safe to retry", key.name())
        }
        MethodKind::Once { key } => format!(
            "sent to the shard of `{}` and executed at most once for each request key",
            key.name()
        ),
    };
    format!(
        "Calls `{}`, which is {routing}. The deadline is {} ms unless `options` sets one.",
        schema.name, schema.deadline_ms
    )
}

/// Formats the schema's comments as an additional paragraph of a doc comment.
fn paragraph(comments: &Comments) -> String {
    if comments.leading.is_empty() {
        return String::new();
    }
    let mut text = "///\n".to_owned();
    for line in &comments.leading {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "/// {}", line.trim());
    }
    text
}
