//! Formats tables of text with aligned columns.

/// Separator of two columns.
const COLUMN_GAP: &str = "  ";

/// A table of text; the first row holds the column heads.
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Returns a table with these column heads.
    pub(crate) fn new(heads: &[&str]) -> Self {
        Self { rows: vec![heads.iter().map(|head| (*head).to_owned()).collect()] }
    }

    /// Adds a row, which must have one cell for each column.
    pub(crate) fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns the table as lines of text.
    pub(crate) fn render(&self) -> String {
        let widths = self.column_widths();
        let lines = self.rows.iter().map(|row| render_row(row, &widths));
        lines.collect()
    }

    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.first().map_or(0, Vec::len);
        (0..columns).map(|column| self.column_width(column)).collect()
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let line = cells.collect::<Vec<_>>().join(COLUMN_GAP);
    format!("{}\n", line.trim_end())
}
