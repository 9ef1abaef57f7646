//! Tests of the commands `rules`, `load` and `explain` of `sesamebarrowctl`.

use std::path::Path;
use std::process::{Command, Output};

fn ctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sesamebarrowctl"))
        .args(args)
        .output()
        .expect("run sesamebarrowctl")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn example_rule_files_are_valid() {
    for name in ["te-wa.rules", "cuota-marina.rules"] {
        let output = ctl(&["rules", "check", &example(name)]);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{errors}");
    }
}

#[test]
fn check_fails_and_prints_the_position_of_an_error() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("bad.rules");
    std::fs::write(&path, "region lima # ana\nregion lima\n").expect("write file");
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
fn load_plan_with_an_unknown_field_is_rejected() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("plan.toml");
    std::fs::write(&path, "seed = 1\nspeed = 3\n").expect("write file");
    let output = ctl(&["load", &path.to_string_lossy()]);
    assert!(!output.status.success());
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(errors.contains("speed"), "{errors}");
}

#[test]
fn explain_prints_the_lines_of_one_request_in_order_of_time() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let log = |name: &str, text: &str| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("write log");
        path
    };
    let later = log(
        "one",
        "timestamp=2 message=ended request=ab1\ntimestamp=3 request=ab12\n",
    );
    let earlier = log("two", "timestamp=1 message=sent request=ab1\n");
    let output = Command::new(env!("CARGO_BIN_EXE_sesamebarrowctl"))
        .args(["explain", "ab1"])
        .args([later, earlier])
        .output()
        .expect("run sesamebarrowctl");
    let text = String::from_utf8_lossy(&output.stdout);
    let is_sent: Vec<_> = text.lines().map(|l| l.contains("message=sent")).collect();
    assert_eq!(is_sent, [true, false], "{text}");
}

#[test]
fn explain_leads_from_a_refused_part_to_the_crashes_that_caused_it() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("log");
    let text = "timestamp=1 message=\"answer broke off\" request=x1 crashed=true parts=51,bad0,77\n\
         timestamp=2 message=\"answer broke off\" request=x2 crashed=false parts=bad0,78\n\
         timestamp=3 message=\"answer broke off\" request=x3 crashed=true parts=51,79\n\
         timestamp=4 message=\"quarantine changed\" change=quarantined kind=part suspect=bad0\n\
         timestamp=5 message=\"request is quarantined\" request=ab1 kind=part suspect=bad0\n\
         timestamp=6 message=\"request is quarantined\" request=x4 kind=part suspect=bad0\n";
    std::fs::write(&path, text).expect("write log");
    assert_eq!(explained_times(&path), ["1", "4", "5"]);
}

#[test]
fn explain_leads_from_a_request_that_came_again_to_the_crashes_that_caused_its_refusal() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("log");
    let text = "timestamp=1 message=\"answer broke off\" request=x1 crashed=true parts= fingerprint=f1\n\
         timestamp=2 message=\"answer broke off\" request=x2 crashed=false parts= fingerprint=f1\n\
         timestamp=3 message=\"answer broke off\" request=x3 crashed=true parts= fingerprint=f2\n\
         timestamp=4 message=\"quarantine changed\" change=learned kind=request suspect=f1\n\
         timestamp=5 message=\"request is quarantined\" request=ab1 kind=request suspect=f1\n";
    std::fs::write(&path, text).expect("write log");
    assert_eq!(explained_times(&path), ["1", "4", "5"]);
}

#[test]
fn explain_leads_from_a_refused_request_to_the_limits_that_caused_it() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("log");
    let text = "timestamp=1 message=\"limit of an upstream changed\" request=x1 service=model rate=1\n\
         timestamp=2 message=\"limit of an upstream changed\" request=x2 service=orders rate=1\n\
         timestamp=3 message=\"nothing takes it\" request=x3 refused=limited service=orders\n\
         timestamp=4 message=\"nothing takes it\" request=ab1 refused=limited service=model\n";
    std::fs::write(&path, text).expect("write log");
    assert_eq!(explained_times(&path), ["1", "4"]);
}

/// Returns the timestamps of the lines that explain the request `ab1`.
fn explained_times(path: &Path) -> Vec<String> {
    let output = ctl(&["explain", "ab1", &path.to_string_lossy()]);
    let text = String::from_utf8_lossy(&output.stdout);
    let time = |line: &str| {
        Some(
            line.split("timestamp=")
                .nth(1)?
                .split(' ')
                .next()?
                .to_owned(),
        )
    };
    text.lines().filter_map(time).collect()
}
