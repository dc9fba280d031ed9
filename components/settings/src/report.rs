//! Error reports for invalid settings, with file, line, field and permitted values.

use std::path::Path;

use derive_more::{Display, Error};
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

use model::FieldFault;

/// Error for a settings file that can't be loaded.
#[derive(Debug, Display, Error)]
#[display("can't load settings file \"{file}\": {summary}")]
pub struct SettingsError {
    file: Box<str>,
    summary: Box<str>,
    #[error(ignore)]
    source_text: Option<Box<NamedSource<String>>>,
    #[error(ignore)]
    labels: Vec<LabeledSpan>,
}

impl SettingsError {
    pub(crate) fn unreadable_file(path: &Path, reason: &str) -> Self {
        Self {
            file: path.display().to_string().into(),
            summary: reason.into(),
            source_text: None,
            labels: Vec::new(),
        }
    }

    pub(crate) fn malformed_json(
        path: &Path,
        text: &str,
        line: usize,
        column: usize,
        reason: &str,
    ) -> Self {
        let line_start: usize =
            text.split_inclusive('\n').take(line.max(1) - 1).map(str::len).sum();
        let offset = (line_start + column.saturating_sub(1)).min(text.len());
        Self::with_labels(path, text, reason, vec![LabeledSpan::at_offset(offset, reason)])
    }

    pub(crate) fn invalid_fields(path: &Path, text: &str, faults: &[FieldFault]) -> Self {
        let labels = faults
            .iter()
            .map(|fault| LabeledSpan::at(locate_field(text, &fault.path), fault.to_string()))
            .collect();
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Self::with_labels(path, text, &lines.join("; "), labels)
    }

    fn with_labels(path: &Path, text: &str, summary: &str, labels: Vec<LabeledSpan>) -> Self {
        let file = path.display().to_string();
        Self {
            file: file.clone().into(),
            summary: summary.into(),
            source_text: Some(Box::new(NamedSource::new(file, text.to_owned()))),
            labels,
        }
    }
}

impl Diagnostic for SettingsError {
    fn code<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new("settings"))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source_text.as_deref().map(|text| text as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

/// Returns the byte range of the field at a JSON path, or of its nearest enclosing field if the
/// field is missing. Without either, returns the range of the first line.
fn locate_field(text: &str, path: &str) -> std::ops::Range<usize> {
    let mut search_start = 0;
    let mut found = None;
    for name in path.split('.').skip(1) {
        let quoted = format!("\"{name}\"");
        let Some(offset) = text[search_start..].find(&quoted) else {
            break;
        };
        let start = search_start + offset;
        search_start = start + quoted.len();
        found = Some(start..search_start);
    }
    found.unwrap_or(0..text.find('\n').unwrap_or(text.len()))
}
