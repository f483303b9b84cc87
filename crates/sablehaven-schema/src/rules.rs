//! Validates the options of a compiled schema and converts them to regions, services and methods.

use std::collections::{BTreeMap, BTreeSet};

use prost_reflect::{FileDescriptor, MethodDescriptor, ServiceDescriptor, Syntax};
use sablehaven_types::{RegionName, ServiceName, ZoneName};

use crate::{
    compile::{CompiledSchema, MAX_LOCATED_PROBLEMS, OPTIONS_FILE, Source},
    field_problem::FieldProblem,
    field_rules::{self, MergeProblem},
    locations::Locations,
    options::{self, EXTENSION_NUMBER, Kind, MethodRule, ServiceRule, number},
    problem::{Position, SchemaProblem, Span},
    schema::{Merge, MethodKind, MethodSchema, RegionSchema, ServiceSchema},
};

/// The maximum deadline of a method, in milliseconds.
const MAX_DEADLINE_MS: u32 = 60_000;
/// The maximum length of a region or zone name, in bytes, as for DNS labels.
const MAX_LABEL_BYTES: usize = 63;
/// The maximum number of shards of a service that does not set one.
const DEFAULT_MAX_SHARDS: u32 = 1_024;

/// The regions and services of a valid schema.
pub(crate) struct CheckedSchema {
    pub regions: Vec<RegionSchema>,
    pub services: BTreeMap<ServiceName, ServiceSchema>,
}

/// Validates one schema and collects every problem.
pub(crate) struct Checker<'a> {
    source: Source<'a>,
    compiled: &'a CompiledSchema,
    locations: Locations,
    problems: Vec<SchemaProblem>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for a compiled schema.
    pub(crate) fn new(source: Source<'a>, compiled: &'a CompiledSchema) -> Self {
        Self {
            source,
            compiled,
            locations: Locations::of_file(compiled.file.file_descriptor_proto()),
            problems: Vec::new(),
        }
    }

    /// Returns the regions and services, or every problem in the order of the text.
    pub(crate) fn check(mut self) -> Result<CheckedSchema, Vec<SchemaProblem>> {
        self.check_file();
        let regions = self.check_regions();
        let services = self.check_services();
        if self.problems.is_empty() {
            return Ok(CheckedSchema { regions, services });
        }
        self.problems.sort();
        Err(self.problems)
    }

    fn file(&self) -> &'a FileDescriptor {
        &self.compiled.file
    }

    fn report(&mut self, position: Position, message: impl Into<String>) {
        self.problems
            .push(position.problem(self.source.file_name, message));
    }

    fn check_file(&mut self) {
        if self.file().syntax() != Syntax::Proto3 {
            let position = self.locations.syntax();
            self.report(position, "the file must say `syntax = \"proto3\";`");
        }
        if self.file().package_name().is_empty() {
            let position = self.locations.package();
            self.report(position, "the file names no package");
        }
    }

    fn check_regions(&mut self) -> Vec<RegionSchema> {
        let options = self.file().options();
        let deployment: Option<options::Deployment> =
            options::read_extension(&self.compiled.pool, &options, options::DEPLOYMENT);
        let Some(deployment) = deployment else {
            self.report(
                Position::START,
                format!(
                    "the file names no regions: import \"{OPTIONS_FILE}\" and set option ({})",
                    options::DEPLOYMENT
                ),
            );
            return Vec::new();
        };
        let span = self
            .locations
            .file_option(EXTENSION_NUMBER, &[number::DEPLOYMENT_REGIONS]);
        if deployment.regions.is_empty() {
            self.report(span.start, "the deployment has no regions");
        }
        let mut region_names = BTreeSet::new();
        let mut zone_names = BTreeSet::new();
        for region in &deployment.regions {
            self.check_label(span, "region", &region.name, &mut region_names);
            if region.zones.is_empty() {
                let position = self.position_of_name(span, &region.name);
                self.report(position, format!("region '{}' has no zones", region.name));
            }
            for zone in &region.zones {
                self.check_label(span, "zone", zone, &mut zone_names);
            }
        }
        deployment.regions.into_iter().map(region_schema).collect()
    }

    /// Checks that a region or zone name is valid and not in `seen`.
    fn check_label<'n>(
        &mut self,
        span: Span,
        kind: &str,
        name: &'n str,
        seen: &mut BTreeSet<&'n str>,
    ) {
        let position = self.position_of_name(span, name);
        if !is_valid_label(name) {
            self.report(
                position,
                format!(
                    "{kind} name '{name}' is not 1 to {MAX_LABEL_BYTES} lower-case letters, digits and hyphens"
                ),
            );
        }
        if !seen.insert(name) {
            self.report(position, format!("{kind} '{name}' is named twice"));
        }
    }

    /// The position of a name in quotes within a span.
    fn position_of_name(&self, span: Span, name: &str) -> Position {
        self.position_within(span, &format!("\"{name}\""))
    }

    /// The position of `excerpt` within a span. Once [`MAX_LOCATED_PROBLEMS`] problems were found, always
    /// the span's start, since each search scans the whole span.
    fn position_within(&self, span: Span, excerpt: &str) -> Position {
        if self.problems.len() < MAX_LOCATED_PROBLEMS {
            span.position_of(excerpt, self.source.text)
        } else {
            span.start
        }
    }

    fn check_services(&mut self) -> BTreeMap<ServiceName, ServiceSchema> {
        let mut services = BTreeMap::new();
        for service in self.file().services() {
            let checked = self.check_service(&service);
            services.insert(checked.name.clone(), checked);
        }
        if services.is_empty() {
            self.report(Position::START, "the file has no services");
        }
        services
    }

    fn check_service(&mut self, service: &ServiceDescriptor) -> ServiceSchema {
        let rule: ServiceRule =
            options::read_extension(&self.compiled.pool, &service.options(), options::SERVICE)
                .unwrap_or_default();
        let maximum_shards = match rule.maximum_shards {
            0 => DEFAULT_MAX_SHARDS,
            maximum => maximum,
        };
        if service.methods().len() == 0 {
            let position = self.locations.service(service);
            self.report(
                position,
                format!("service '{}' has no methods", service.name()),
            );
        }
        let methods = service
            .methods()
            .filter_map(|method| self.check_method(service, &method))
            .collect();
        ServiceSchema {
            name: ServiceName::from(service.full_name()),
            maximum_shards,
            minimum_replicas: rule.minimum_replicas.max(1),
            methods,
        }
    }

    fn check_method(
        &mut self,
        service: &ServiceDescriptor,
        method: &MethodDescriptor,
    ) -> Option<MethodSchema> {
        let position = self.locations.method(method);
        if method.is_client_streaming() || method.is_server_streaming() {
            self.report(
                position,
                format!("method '{}' streams, which is not supported", method.name()),
            );
        }
        let rule: Option<MethodRule> =
            options::read_extension(&self.compiled.pool, &method.options(), options::METHOD);
        let Some(rule) = rule else {
            self.report(
                position,
                format!(
                    "method '{}' sets no option ({})",
                    method.name(),
                    options::METHOD
                ),
            );
            return None;
        };
        self.check_deadline(method, rule.deadline_ms);
        let kind = self.check_kind(method, rule.kind)?;
        Some(MethodSchema {
            service: ServiceName::from(service.full_name()),
            name: method.name().to_owned(),
            path: format!("/{}/{}", service.full_name(), method.name()),
            kind,
            deadline_ms: u64::from(rule.deadline_ms),
            input: method.input(),
            output: method.output(),
        })
    }

    fn check_deadline(&mut self, method: &MethodDescriptor, deadline_ms: u32) {
        if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) {
            return;
        }
        let message = format!("deadline_ms is {deadline_ms}, allowed is 1 to {MAX_DEADLINE_MS}");
        let problem = FieldProblem::of_option_field("deadline_ms", message);
        self.report_option(method, &[number::RULE_DEADLINE_MS], &problem);
    }

    fn check_kind(&mut self, method: &MethodDescriptor, kind: Option<Kind>) -> Option<MethodKind> {
        match kind {
            None => {
                let message = "says neither query nor lookup nor once".to_owned();
                self.report_option(method, &[], &FieldProblem::of_whole_option(message));
                None
            }
            Some(Kind::Query(query)) => self.check_query(method, &query),
            Some(Kind::Lookup(lookup)) => self
                .check_key(method, number::RULE_LOOKUP, &lookup.key)
                .map(|key| MethodKind::Lookup { key }),
            Some(Kind::Once(once)) => self
                .check_key(method, number::RULE_ONCE, &once.key)
                .map(|key| MethodKind::Once { key }),
        }
    }

    fn check_key(
        &mut self,
        method: &MethodDescriptor,
        rule_field: u32,
        key: &str,
    ) -> Option<prost_reflect::FieldDescriptor> {
        match field_rules::key_field(&method.input(), key) {
            Ok(field) => Some(field),
            Err(problem) => {
                self.report_option(method, &[rule_field], &problem);
                None
            }
        }
    }

    fn check_query(
        &mut self,
        method: &MethodDescriptor,
        query: &options::Query,
    ) -> Option<MethodKind> {
        let resolved = field_rules::merge_rules(&method.input(), &method.output(), query);
        let is_valid = resolved.problems.is_empty();
        for MergeProblem {
            query_field,
            problem,
        } in resolved.problems
        {
            let subpath: Vec<u32> = [number::RULE_QUERY]
                .into_iter()
                .chain(query_field)
                .collect();
            self.report_option(method, &subpath, &problem);
        }
        is_valid.then_some(MethodKind::Query {
            merge: Merge {
                rules: resolved.rules,
            },
        })
    }

    /// Reports a problem with a method's option, at the part of its text that the problem refers to.
    fn report_option(
        &mut self,
        method: &MethodDescriptor,
        subpath: &[u32],
        problem: &FieldProblem,
    ) {
        let span = self
            .locations
            .method_option(method, EXTENSION_NUMBER, subpath);
        let position = self.position_within(span, &problem.excerpt);
        let message = format!("method '{}': {}", method.name(), problem.message);
        self.report(position, message);
    }
}

fn region_schema(region: options::Region) -> RegionSchema {
    RegionSchema {
        name: RegionName::from(region.name),
        zones: region.zones.into_iter().map(ZoneName::from).collect(),
    }
}

/// Whether a region or zone name is valid.
fn is_valid_label(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_LABEL_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
