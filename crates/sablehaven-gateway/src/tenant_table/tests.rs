//! Tests of the lookup of tenants by key.

use std::{hint::black_box, sync::Arc, time::Instant};

use sablehaven_types::{AllowedRegions, KeyDigest, RouteDocument, Tenant};

use super::TenantTable;

fn table(tenants: &[(&str, &[&str])]) -> TenantTable {
    let tenant = |(name, keys): &(&str, &[&str])| Tenant {
        name: (*name).into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    };
    TenantTable::new(Arc::new(RouteDocument {
        tenants: tenants.iter().map(tenant).collect(),
        ..RouteDocument::default()
    }))
}

fn owner(table: &TenantTable, key: &str) -> Option<String> {
    let found = table.find(KeyDigest::of(key.as_bytes()))?;
    Some(found.tenant().name.to_string())
}

#[test]
fn finds_the_tenant_of_each_key_and_none_for_unknown_keys() {
    let table = table(&[("a", &["a-1", "a-2"]), ("b", &["b-1"]), ("c", &[])]);
    assert!(!table.is_empty());
    assert_eq!(owner(&table, "a-1").as_deref(), Some("a"));
    assert_eq!(owner(&table, "a-2").as_deref(), Some("a"));
    assert_eq!(owner(&table, "b-1").as_deref(), Some("b"));
    for unknown in ["", "a", "a-", "a-1 ", "A-1", "c"] {
        assert_eq!(owner(&table, unknown), None, "{unknown}");
    }
}

#[test]
fn an_empty_table_has_no_keys() {
    let table = table(&[]);
    assert!(table.is_empty());
    assert_eq!(owner(&table, "a-1"), None);
}

#[test]
fn the_header_value_is_the_name_in_utf8() {
    let table = table(&[("Van Oordt élève", &["k"])]);
    let found = table.find(KeyDigest::of(b"k")).expect("a tenant");
    let header = found.to_header_value().expect("a header");
    assert_eq!(header.as_bytes(), "Van Oordt élève".as_bytes());
}

/// Number of tenants of the largest deployment that is planned for, and number of keys of each.
const TENANT_COUNT: usize = 10_000;
const KEYS_PER_TENANT: usize = 4;

fn key_text(tenant: usize, key: usize) -> String {
    format!("key-of-thirty-two-characters-{tenant:05}-{key}")
}

/// Resident memory of this process, in bytes; 0 if the system does not report it.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: Option<usize> = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * 4096
}

/// The table must need at most 24 bytes per key. The test also prints its memory use and lookup times:
///
/// `cargo test --release -p sablehaven-gateway --lib ten_thousand -- --nocapture --test-threads 1`
#[test]
fn the_table_of_ten_thousand_tenants_needs_at_most_24_bytes_per_key() {
    let initial_bytes = resident_bytes();
    let tenants = (0..TENANT_COUNT).map(|number| Tenant {
        name: format!("tenant-{number:05}").as_str().into(),
        keys: (0..KEYS_PER_TENANT)
            .map(|key| KeyDigest::of(key_text(number, key).as_bytes()))
            .collect(),
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    });
    let document = Arc::new(RouteDocument {
        tenants: tenants.collect(),
        ..RouteDocument::default()
    });
    let bytes_with_document = resident_bytes();
    let started = Instant::now();
    let table = TenantTable::new(document);
    let build_time = started.elapsed();
    let bytes_with_table = resident_bytes();
    let texts: Vec<String> = (0..TENANT_COUNT)
        .map(|number| key_text(number, 3))
        .collect();
    let started = Instant::now();
    for text in &texts {
        assert!(black_box(table.find(KeyDigest::of(text.as_bytes()))).is_some());
    }
    let hit_time = started.elapsed() / TENANT_COUNT as u32;
    let started = Instant::now();
    for number in 0..TENANT_COUNT {
        let unknown = KeyDigest::of(key_text(number, KEYS_PER_TENANT).as_bytes());
        assert!(black_box(table.find(unknown)).is_none());
    }
    let miss_time = started.elapsed() / TENANT_COUNT as u32;
    println!(
        "{TENANT_COUNT} tenants, {} keys: document {} KB, table {} KB ({} KB of entries), built in {build_time:?}, \
         a known key {hit_time:?}, an unknown one {miss_time:?}",
        table.by_key.len(),
        bytes_with_document.saturating_sub(initial_bytes) / 1_000,
        bytes_with_table.saturating_sub(bytes_with_document) / 1_000,
        size_of_val(&*table.by_key) / 1_000,
    );
    assert_eq!(table.by_key.len(), TENANT_COUNT * KEYS_PER_TENANT);
    assert!(size_of_val(&*table.by_key) <= TENANT_COUNT * KEYS_PER_TENANT * 24);
}
