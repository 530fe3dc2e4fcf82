//! Command errors with their exit codes, and printing of tables.

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file or the value of an argument is invalid.
    Usage(String),
    /// The entry or relay did not respond or responded with an error.
    Request(String),
}

impl CommandError {
    /// The exit code of the process: 1 for a failed request, 2 for invalid input.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Request(_) => 1,
            Self::Usage(_) => 2,
        }
    }
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(text) | Self::Request(text) => formatter.write_str(text),
        }
    }
}

/// Prints rows in aligned columns, or as CSV. Cells aren't quoted, as names in this system have no commas
/// or quotes.
pub fn print_table(header: &[&str], rows: &[Vec<String>], csv: bool) {
    let header: Vec<String> = header.iter().map(|&cell| cell.to_owned()).collect();
    let lines = std::iter::once(&header).chain(rows);
    if csv {
        lines.for_each(|line| println!("{}", line.join(",")));
        return;
    }
    let widths: Vec<usize> = (0..header.len())
        .map(|column| {
            let cells = rows.iter().map(|row| row[column].len());
            cells.max().unwrap_or(0).max(header[column].len())
        })
        .collect();
    for line in lines {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}", width = *width))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}
