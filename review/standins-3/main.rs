//! Cases of a review that no day of the bench can show: stand-ins of the store, of runners and of
//! clients around the project's own program.

mod client;
mod ends;
mod http;
mod node;
mod record;
mod runner;
mod stalls;
mod store;
mod upgrades;

use record::Record;
use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: lab CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = match case.as_str() {
        "outage" => upgrades::play_outage,
        "copy" => upgrades::play_copy,
        "stalls" => stalls::play,
        "ends" => ends::play,
        _ => exit(2),
    };
    let record = Record::start();
    let work = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("a temporary folder");
    let code = play(&work, has_trouble, &record);
    record.note(&format!("exit code {code}"));
    record.write(&Path::new(folder).join("record.txt"));
    let _ = std::fs::remove_dir_all(&work);
    exit(code);
}
