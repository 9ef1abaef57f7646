//! Prints JSON objects as a table.

use serde_json::Value;

/// Prints the fields `columns` of each object in `rows`. Prints nothing if there are no rows.
pub fn print(title: &str, rows: &Value, columns: &[&str]) {
    let rows = rows.as_array().map(Vec::as_slice).unwrap_or_default();
    if rows.is_empty() {
        return;
    }
    let mut cells = vec![columns.iter().map(ToString::to_string).collect::<Vec<_>>()];
    for row in rows {
        cells.push(columns.iter().map(|c| cell(&row[*c])).collect());
    }
    let width = |column: usize| cells.iter().map(|r| r[column].chars().count()).max();
    let widths: Vec<usize> = (0..columns.len())
        .map(|c| width(c).unwrap_or_default())
        .collect();
    println!("\n{title}");
    for row in &cells {
        let padded: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(text, width)| format!("{text:<width$}"))
            .collect();
        println!("  {}", padded.join("  ").trim_end());
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
