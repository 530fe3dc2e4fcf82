//! Failures and tables.

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// A file or an argument was wrong.
    Usage(String),
    /// The answer was an error.
    Answer(String),
}

impl Failure {
    /// The exit code of the process.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Answer(_) => 1,
            Self::Usage(_) => 2,
        }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(text) | Self::Answer(text) => formatter.write_str(text),
        }
    }
}

/// Prints rows in columns, or separated by commas. Names in this system have no commas or quotes.
pub fn print_table(head: &[&str], rows: &[Vec<String>], csv: bool) {
    let head: Vec<String> = head.iter().map(|&cell| cell.to_owned()).collect();
    let lines = std::iter::once(&head).chain(rows);
    if csv {
        lines.for_each(|line| println!("{}", line.join(",")));
        return;
    }
    let widths: Vec<usize> = (0..head.len())
        .map(|column| {
            let cells = rows.iter().map(|row| row[column].len());
            cells.max().unwrap_or(0).max(head[column].len())
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
