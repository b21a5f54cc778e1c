//! Reads declaration files from a folder.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use catkin_base::value_type;

/// Maximum depth of subfolders that are read.
const MAX_FOLDER_DEPTH: usize = 8;

value_type! {
    /// Name and text of one declaration file.
    pub struct DeclarationFile {
        /// Path of the file, as shown in diagnostics.
        pub name: String,
        /// Content of the file.
        pub text: String,
    }
}

/// Reason why declaration files were not read.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FolderError {
    /// A file or folder could not be read.
    #[error("cannot read {}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The folder and its subfolders contain no declaration file.
    #[error("no .json file in {} or its subfolders", path.display())]
    Empty {
        /// The folder.
        path: PathBuf,
    },
}

/// Reads one file, or every `.json` file of a folder and its subfolders, ordered by path.
///
/// Fails if a file or folder cannot be read, or if there is no file.
pub fn read_declaration_files(path: &Path) -> Result<Vec<DeclarationFile>, FolderError> {
    let mut paths = Vec::new();
    if path.is_dir() {
        collect_json_paths(path, 0, &mut paths)?;
    } else {
        paths.push(path.to_owned());
    }
    if paths.is_empty() {
        return Err(FolderError::Empty { path: path.to_owned() });
    }
    paths.iter().map(|path| read_file(path)).collect()
}

fn collect_json_paths(
    folder: &Path,
    depth: usize,
    paths: &mut Vec<PathBuf>,
) -> Result<(), FolderError> {
    let mut entries = Vec::new();
    for entry in fs::read_dir(folder).map_err(|source| build_read_error(folder, source))? {
        entries.push(entry.map_err(|source| build_read_error(folder, source))?.path());
    }
    entries.sort();
    for entry in entries {
        if entry.is_dir() && depth < MAX_FOLDER_DEPTH {
            collect_json_paths(&entry, depth + 1, paths)?;
        } else if entry.extension().is_some_and(|extension| extension == "json") {
            paths.push(entry);
        }
    }
    Ok(())
}

fn read_file(path: &Path) -> Result<DeclarationFile, FolderError> {
    let text = fs::read_to_string(path).map_err(|source| build_read_error(path, source))?;
    Ok(DeclarationFile { name: path.display().to_string(), text })
}

fn build_read_error(path: &Path, source: io::Error) -> FolderError {
    FolderError::Unreadable { path: path.to_owned(), source }
}
