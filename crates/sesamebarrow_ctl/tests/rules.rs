//! The operators' program on rule files.

use std::process::{Command, Output};

fn ctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sesamebarrowctl"))
        .args(args)
        .output()
        .expect("it runs")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_example_deployments_are_sound() {
    for name in ["te-wa.rules", "cuota-marina.rules"] {
        let output = ctl(&["rules", "check", &example(name)]);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{errors}");
    }
}

#[test]
fn a_fault_is_shown_with_its_place_and_fails() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("bad.rules");
    std::fs::write(&path, "region lima # ana\nregion lima\n").expect("written");
    let path = path.to_string_lossy();
    let output = ctl(&["rules", "check", &path]);
    assert!(!output.status.success());
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        errors.contains("bad.rules:2:12: expected a comment"),
        "{errors}"
    );
}

#[test]
fn a_plan_of_load_with_an_unknown_field_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("plan.toml");
    std::fs::write(&path, "seed = 1\nspeed = 3\n").expect("written");
    let output = ctl(&["load", &path.to_string_lossy()]);
    assert!(!output.status.success());
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(errors.contains("speed"), "{errors}");
}

#[test]
fn explain_prints_the_lines_of_one_request_in_order() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("a log");
        path
    };
    let one = log(
        "one",
        "timestamp=2 message=ended request=ab1\ntimestamp=3 request=ab12\n",
    );
    let two = log("two", "timestamp=1 message=sent request=ab1\n");
    let output = Command::new(env!("CARGO_BIN_EXE_sesamebarrowctl"))
        .args(["explain", "ab1"])
        .args([one, two])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let messages: Vec<_> = text.lines().map(|l| l.contains("message=sent")).collect();
    assert_eq!(messages, [true, false], "{text}");
}
