//! Tests of the validation of settings.

use rstest::rstest;
use sesamebarrow_gateway::Settings;

const SETTINGS: &str = include_str!("support/settings.toml");

fn load(text: &str) -> Result<Settings, String> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, text).expect("written");
    Settings::load(&path).map_err(|e| e.to_string())
}

#[test]
fn valid_settings_are_accepted() {
    load(SETTINGS).expect("valid");
}

#[rstest]
#[case::quota_window(
    "quota_window = \"8s\"",
    "quota_window = \"0s\"",
    "limits.quota_window"
)]
#[case::quota_over("quota_over = 0.25", "quota_over = -0.25", "limits")]
#[case::cold_ratio("cold_ratio = 1.5", "cold_ratio = -1.5", "limits")]
#[case::cold_slack("cold_slack = 3", "cold_slack = inf", "limits")]
#[case::retry_slack("retry_slack = 50", "retry_slack = nan", "limits")]
#[case::dispatch_capacity(
    "processor_share = 0.5",
    "processor_share = 0.0",
    "dispatch.processor_share"
)]
#[case::dispatch_capacity_nan(
    "processor_share = 0.5",
    "processor_share = nan",
    "dispatch.processor_share"
)]
#[case::first_guess(
    "first_guess_per_ms = 30.0",
    "first_guess_per_ms = 1e-300",
    "dispatch.first_guess_per_ms"
)]
#[case::min_pause("min_pause = \"500ms\"", "min_pause = \"500\"", "min_pause")]
#[case::no_memory(
    "[limits]",
    "[memory]\nprocess_mib = 0\n[limits]",
    "memory.process_mib"
)]
#[case::memory_of_bodies(
    "[limits]",
    "[memory]\nprocess_mib = 64\nbodies_mib = 64\n[limits]",
    "memory.bodies_mib"
)]
fn error_names_the_limit_that_is_invalid(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    assert!(SETTINGS.contains(old));
    let error = load(&SETTINGS.replace(old, new)).expect_err("invalid");
    assert!(error.contains(expected), "{error}");
}

#[rstest]
#[case::limits("retry_slack = 50", "retry_slack = 60", &[])]
#[case::dispatch("min_pause = \"500ms\"", "", &[])]
#[case::store("127.0.0.1:7", "127.0.0.1:8", &[])]
#[case::seeds("seeds = []", "seeds = [\"127.0.0.2:4\"]", &[])]
#[case::ip("ip = \"127.0.0.1\"", "ip = \"127.0.0.9\"", &["ip"])]
#[case::log("[limits]", "[log]\nlevel = \"debug\"\n[limits]", &["log"])]
#[case::memory("[limits]", "[memory]\nprocess_mib = 64\n[limits]", &["memory"])]
#[case::shutdown("[limits]", "[shutdown]\nlimit = \"5s\"\n[limits]", &[])]
fn changed_fields_that_need_a_restart_are_named(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &[&str],
) {
    assert!(SETTINGS.contains(old));
    let before = load(SETTINGS).expect("valid");
    let after = load(&SETTINGS.replace(old, new)).expect("valid");
    assert_eq!(before.restart_fields(&after), expected);
    let in_force = before.with_reloaded(after.clone());
    let is_in_force = format!("{in_force:?}") == format!("{after:?}");
    assert_eq!(is_in_force, expected.is_empty(), "{in_force:?}");
}
