//! The record of a case: what was sent, answered and run, with the time in seconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }
}
