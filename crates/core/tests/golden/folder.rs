//! A folder of golden files: bytes that an earlier state of the program wrote.

use std::collections::BTreeSet;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::PathBuf;

/// The environment variable that, set to `1`, makes the tests write missing golden files. Existing files are
/// never changed.
const WRITE_VARIABLE: &str = "GOLDEN_WRITE";

/// A folder of golden files, which must hold exactly the files that the test cases name.
pub struct GoldenFolder {
    path: PathBuf,
}

impl GoldenFolder {
    /// Returns the folder at this path below the folder of the crate under test.
    pub fn in_crate(crate_folder: &str, relative_path: &str) -> GoldenFolder {
        GoldenFolder { path: PathBuf::from(crate_folder).join(relative_path) }
    }

    /// Checks that the program still writes the bytes of a golden file, and returns these bytes.
    ///
    /// # Panics
    ///
    /// If the file is missing (unless `GOLDEN_WRITE=1` asks for new files to be written), or if its
    /// bytes differ from `encoded`.
    pub fn expect_same_bytes(&self, file_name: &str, encoded: &[u8]) -> Vec<u8> {
        let path = self.path.join(file_name);
        if !path.exists() && std::env::var(WRITE_VARIABLE).as_deref() == Ok("1") {
            self.write_new(file_name, encoded);
        }
        let stored = fs::read(&path).unwrap_or_else(|error| panic!("golden file {file_name}: {error}"));
        if let Some(position) = first_difference(&stored, encoded) {
            panic!(
                "{file_name}: the encoding changed at byte {position}\n stored: {stored:02x?}\nencoded: {encoded:02x?}"
            );
        }
        stored
    }

    /// Returns the bytes of a golden file that the program reads and no longer writes.
    ///
    /// # Panics
    ///
    /// If the file is missing.
    #[allow(dead_code, reason = "only the golden records have files of this kind")]
    pub fn read(&self, file_name: &str) -> Vec<u8> {
        fs::read(self.path.join(file_name)).unwrap_or_else(|error| panic!("golden file {file_name}: {error}"))
    }

    /// Checks that the folder holds the named files and no others.
    pub fn expect_only<'a>(&self, file_names: impl Iterator<Item = &'a str>) {
        let mut expected = BTreeSet::new();
        for name in file_names {
            assert!(expected.insert(name.to_owned()), "two cases use the golden file {name}");
        }
        let entries = fs::read_dir(&self.path).expect("the folder of golden files exists");
        let present: BTreeSet<String> =
            entries.map(|entry| entry.expect("a folder entry").file_name().to_string_lossy().into_owned()).collect();
        let unnamed: Vec<_> = present.difference(&expected).collect();
        let missing: Vec<_> = expected.difference(&present).collect();
        assert!(unnamed.is_empty(), "golden files that no case names: {unnamed:?}");
        assert!(missing.is_empty(), "cases without a golden file: {missing:?}");
    }

    /// Writes a new file; fails rather than overwriting one that exists.
    fn write_new(&self, file_name: &str, encoded: &[u8]) {
        fs::create_dir_all(&self.path).expect("creates the folder of golden files");
        let file = OpenOptions::new().write(true).create_new(true).open(self.path.join(file_name));
        file.and_then(|mut file| file.write_all(encoded)).expect("writes a new golden file");
    }
}

/// Returns the position of the first byte in which two byte strings differ, if they differ.
fn first_difference(left: &[u8], right: &[u8]) -> Option<usize> {
    let shared = left.iter().zip(right).take_while(|(left, right)| left == right).count();
    (left != right).then_some(shared)
}
