//! Golden files: the bytes that nodes exchange must stay the same, whatever is renamed in the code.
//!
//! Each case builds a value, and a checked-in file holds the bytes that the program wrote for it
//! when the file was added. For each case the tests check that the value is still encoded to these
//! bytes, and that the bytes are still decoded to this value.
//!
//! - `frames/` holds one whole `Frame` for each variant of `Message`, and further ones for optional
//!   content. File names are `<variant>.bin` or `<variant>-<case>.bin`.
//! - `forms/` holds the compressed forms of a `LogEntry`, and a `Patch`.
//!
//! # Adding a variant
//!
//! 1. The compiler asks for the new variant in `variants.rs`; add it there.
//! 2. Add a case for it in `frames.rs`. Give every field a value of its own that is not its default.
//! 3. Run `GOLDEN_WRITE=1 cargo test -p sumacvale-core --test golden`. This writes the files that
//!    are missing, and never overwrites a file that exists. Commit the new file.
//!
//! # Renaming a variant
//!
//! Change only the left side of its line in `variants.rs`; the file keeps its name and its bytes.
//!
//! # When a test fails
//!
//! A test that fails for an existing file means that adjacent releases no longer understand each
//! other. Don't replace the file: restore the encoding.

mod folder;
mod forms;
mod frames;
mod values;
mod variants;
