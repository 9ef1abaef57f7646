//! Tests of what published items do to the board.

use std::time::Duration;

use sesamebarrow_gateway::Settings;
use sesamebarrow_gateway::shared::Shared;
use sesamebarrow_gateway::store;
use sesamebarrow_gateway::token::Tokens;
use sesamebarrow_routing::catalog::{Change, Item};
use sesamebarrow_routing::{Catalog, Identity};
use tokio::net::UdpSocket;

const SETTINGS: &str = include_str!("support/settings.toml");

const ENTRY: &str = r#"{"service":"model","address":"127.0.0.1:9","zone":"a","version":"v1","slots":16,
    "state":"ready","warmupLeftMs":0,"sequence":1,"born":1}"#;

/// Returns the state of an instance that knows one upstream.
async fn instance() -> anyhow::Result<(Shared, Catalog)> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, SETTINGS)?;
    let identity = Identity {
        name: "a-0".into(),
        domain: "a".into(),
        region: "a".into(),
        ip: [127, 0, 0, 1].into(),
        incarnation: 1,
    };
    let tokens = Tokens::new(UdpSocket::bind("127.0.0.1:0").await?);
    let shared = Shared::new(Settings::load(&path)?, identity, tokens);
    let mut catalog = Catalog::default();
    publish(&shared, &mut catalog, 1, ENTRY);
    Ok((shared, catalog))
}

fn publish(shared: &Shared, catalog: &mut Catalog, revision: u64, value: &str) {
    let item = Item {
        value: value.as_bytes().to_vec(),
        revision,
    };
    let change = Change {
        key: "servers/up".into(),
        item: Some(item),
        revision,
    };
    store::apply(shared, catalog, &[change]);
}

#[tokio::test]
async fn undecodable_entry_removes_an_upstream() -> anyhow::Result<()> {
    let (shared, mut catalog) = instance().await?;
    publish(&shared, &mut catalog, 2, "{");
    assert!(shared.board().upstreams.key("up").is_none());
    Ok(())
}

#[tokio::test]
async fn upstream_is_kept_for_a_while_if_its_entry_is_undecodable_after_an_outage()
-> anyhow::Result<()> {
    let (shared, mut catalog) = instance().await?;
    shared.board().last_store_outage_at = Some(shared.now());
    publish(&shared, &mut catalog, 2, "{");
    assert!(shared.board().upstreams.key("up").is_some());
    publish(&shared, &mut catalog, 3, ENTRY);
    let later = shared.now() + Duration::from_secs(10);
    shared.board().upstreams.remove_due(later, 0);
    assert!(shared.board().upstreams.key("up").is_some());
    Ok(())
}
