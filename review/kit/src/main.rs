//! Stand-ins and cases of the review. `review_kit CASE RECORD` plays a case against the programs of the
//! deploy file, from the repository's root: exit status 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. `TROUBLE=0` leaves the disruption out. `review_kit server ID OPTION...` is a server.

mod cases;
mod deploy;
mod http;
mod record;
mod server;
mod store;

use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "server") {
        return match server::run(&args[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("server: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let [name, path] = &args[..] else {
        eprintln!("usage: review_kit CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match record::Record::create(path.as_ref()) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    // The longest case takes a quarter of this. Servers end with this process; `run.sh` ends the instances.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(100));
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
    let verdict = cases::play(name, &record, trouble);
    let (code, text) = match &verdict {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("the rule was broken: {broken}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(format!("verdict: {text}"));
    println!("{name}: {text}");
    ExitCode::from(code)
}
