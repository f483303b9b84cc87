//! Checks the options of a schema and turns them into rules.

use std::collections::{BTreeMap, BTreeSet};

use prost_reflect::{FileDescriptor, MethodDescriptor, ServiceDescriptor, Syntax};
use sablehaven_types::{RegionName, ServiceName, ZoneName};

use crate::{
    compile::{Compiled, MAX_PLACED_PROBLEMS, OPTIONS_FILE, Source},
    field_problem::FieldProblem,
    field_rules::{self, MergeProblem},
    locations::Locations,
    options::{self, EXTENSION_NUMBER, Kind, MethodRule, ServiceRule, number},
    problem::{Position, SchemaProblem, Span},
    schema::{Merge, MethodKind, MethodSchema, RegionSchema, ServiceSchema},
};

/// The longest deadline that a method may set, in milliseconds.
const MAX_DEADLINE_MS: u32 = 60_000;
/// The longest name of a region or zone, in bytes (as in DNS labels).
const MAX_PLACE_NAME_BYTES: usize = 63;
/// The most shards of a service that sets no limit.
const DEFAULT_MAXIMUM_SHARDS: u32 = 1_024;

/// What the checks give.
pub(crate) struct Checked {
    pub regions: Vec<RegionSchema>,
    pub services: BTreeMap<ServiceName, ServiceSchema>,
}

/// Collects every problem of one schema.
pub(crate) struct Checker<'a> {
    source: Source<'a>,
    compiled: &'a Compiled,
    locations: Locations,
    problems: Vec<SchemaProblem>,
}

impl<'a> Checker<'a> {
    /// Checks of a compiled schema.
    pub(crate) fn new(source: Source<'a>, compiled: &'a Compiled) -> Self {
        Self {
            source,
            compiled,
            locations: Locations::of_file(compiled.file.file_descriptor_proto()),
            problems: Vec::new(),
        }
    }

    /// The rules, or every problem in the order of the text.
    pub(crate) fn check(mut self) -> Result<Checked, Vec<SchemaProblem>> {
        self.check_file();
        let regions = self.check_regions();
        let services = self.check_services();
        if self.problems.is_empty() {
            return Ok(Checked { regions, services });
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
            options::read(&self.compiled.pool, &options, options::DEPLOYMENT);
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
            self.check_place_name(span, "region", &region.name, &mut region_names);
            if region.zones.is_empty() {
                let position = self.place_of_name(span, &region.name);
                self.report(position, format!("region '{}' has no zones", region.name));
            }
            for zone in &region.zones {
                self.check_place_name(span, "zone", zone, &mut zone_names);
            }
        }
        deployment.regions.into_iter().map(region_schema).collect()
    }

    fn check_place_name<'n>(
        &mut self,
        span: Span,
        what: &str,
        name: &'n str,
        seen: &mut BTreeSet<&'n str>,
    ) {
        let position = self.place_of_name(span, name);
        if !is_place_name(name) {
            self.report(
                position,
                format!(
                    "{what} name '{name}' is not 1 to {MAX_PLACE_NAME_BYTES} lower-case letters, digits and hyphens"
                ),
            );
        }
        if !seen.insert(name) {
            self.report(position, format!("{what} '{name}' is named twice"));
        }
    }

    fn place_of_name(&self, span: Span, name: &str) -> Position {
        self.place_within(span, &format!("\"{name}\""))
    }

    /// The place of `blamed` within a span; the span's start once many problems were found, since
    /// each search goes through the whole span.
    fn place_within(&self, span: Span, blamed: &str) -> Position {
        if self.problems.len() < MAX_PLACED_PROBLEMS {
            span.place_of(blamed, self.source.text)
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
            options::read(&self.compiled.pool, &service.options(), options::SERVICE)
                .unwrap_or_default();
        let maximum_shards = match rule.maximum_shards {
            0 => DEFAULT_MAXIMUM_SHARDS,
            given => given,
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
            options::read(&self.compiled.pool, &method.options(), options::METHOD);
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
        let problem = FieldProblem::of_option("deadline_ms", message);
        self.report_option(method, &[number::RULE_DEADLINE_MS], &problem);
    }

    fn check_kind(&mut self, method: &MethodDescriptor, kind: Option<Kind>) -> Option<MethodKind> {
        match kind {
            None => {
                let message = "says neither query nor lookup nor once".to_owned();
                self.report_option(method, &[], &FieldProblem::of_whole(message));
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
        rule: u32,
        key: &str,
    ) -> Option<prost_reflect::FieldDescriptor> {
        match field_rules::key_field(&method.input(), key) {
            Ok(field) => Some(field),
            Err(problem) => {
                self.report_option(method, &[rule], &problem);
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
        let complete = resolved.problems.is_empty();
        for MergeProblem { part, problem } in resolved.problems {
            let within: Vec<u32> = [number::RULE_QUERY].into_iter().chain(part).collect();
            self.report_option(method, &within, &problem);
        }
        complete.then_some(MethodKind::Query {
            merge: Merge {
                rules: resolved.rules,
            },
        })
    }

    /// Reports a problem of a method's option, at the part of its text that is to blame.
    fn report_option(&mut self, method: &MethodDescriptor, within: &[u32], problem: &FieldProblem) {
        let span = self
            .locations
            .method_option(method, EXTENSION_NUMBER, within);
        let position = self.place_within(span, &problem.blamed);
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

fn is_place_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_PLACE_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}
