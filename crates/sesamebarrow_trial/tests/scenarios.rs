//! Runs all scripted scenarios in `tests/scenarios`.

use sesamebarrow_trial::Script;
use sesamebarrow_trial::script::Args;

#[test]
fn scenarios_give_their_expected_output() {
    datadriven::walk("tests/scenarios", |file| {
        let mut script = Script::default();
        file.run(|case| {
            let args: Args = case
                .args
                .iter()
                .map(|(name, values)| (name.clone(), values.join(",")))
                .collect();
            script.execute(&case.directive, &args, &case.input)
        });
    });
}
