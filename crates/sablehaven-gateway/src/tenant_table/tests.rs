//! Tests of the look-up by key.

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
fn each_key_leads_to_its_tenant_and_no_other_key_to_any() {
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
fn without_tenants_there_is_nothing_to_find() {
    let table = table(&[]);
    assert!(table.is_empty());
    assert_eq!(owner(&table, "a-1"), None);
}

#[test]
fn servers_are_told_the_name_as_it_is_written() {
    let table = table(&[("Van Oordt élève", &["k"])]);
    let found = table.find(KeyDigest::of(b"k")).expect("a tenant");
    let header = found.to_header_value().expect("a header");
    assert_eq!(header.as_bytes(), "Van Oordt élève".as_bytes());
}

/// The tenants of the largest deployment that is planned for, and the keys of each.
const TENANTS: usize = 10_000;
const KEYS: usize = 4;

fn key_text(tenant: usize, key: usize) -> String {
    format!("key-of-thirty-two-characters-{tenant:05}-{key}")
}

/// Memory of this process that is in use, in bytes; 0 where the system does not say.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: Option<usize> = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * 4096
}

/// Prints its figures: `cargo test --release -p sablehaven-gateway --lib ten_thousand -- --nocapture --test-threads 1`
#[test]
fn a_table_of_ten_thousand_tenants_is_little_longer_than_its_keys() {
    let before = resident_bytes();
    let tenants = (0..TENANTS).map(|number| Tenant {
        name: format!("tenant-{number:05}").as_str().into(),
        keys: (0..KEYS)
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
    let with_document = resident_bytes();
    let started = Instant::now();
    let table = TenantTable::new(document);
    let built = started.elapsed();
    let with_table = resident_bytes();
    let texts: Vec<String> = (0..TENANTS).map(|number| key_text(number, 3)).collect();
    let started = Instant::now();
    for text in &texts {
        assert!(black_box(table.find(KeyDigest::of(text.as_bytes()))).is_some());
    }
    let found = started.elapsed() / TENANTS as u32;
    let started = Instant::now();
    for number in 0..TENANTS {
        let unknown = KeyDigest::of(key_text(number, KEYS).as_bytes());
        assert!(black_box(table.find(unknown)).is_none());
    }
    let refused = started.elapsed() / TENANTS as u32;
    println!(
        "{TENANTS} tenants, {} keys: document {} KB, table {} KB ({} KB by its length), built in {built:?}, \
         a known key {found:?}, an unknown one {refused:?}",
        table.by_key.len(),
        with_document.saturating_sub(before) / 1_000,
        with_table.saturating_sub(with_document) / 1_000,
        size_of_val(&*table.by_key) / 1_000,
    );
    assert_eq!(table.by_key.len(), TENANTS * KEYS);
    assert!(size_of_val(&*table.by_key) <= TENANTS * KEYS * 24);
}
