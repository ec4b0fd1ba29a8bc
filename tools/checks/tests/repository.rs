//! The repository's own names, links and log lines.

use quillmount_checks::names::{NamingRules, identifiers_with_withdrawn_words};
use quillmount_checks::{links, log_lines, repository_root};

/// Identifiers that may keep a withdrawn word, each in its standard meaning.
const MOST_EXCEPTIONS: usize = 40;

fn naming_rules() -> NamingRules {
    let glossary =
        std::fs::read_to_string(repository_root().join("docs/glossary.md")).expect("docs/glossary.md");
    NamingRules::from_glossary(&glossary)
}

#[test]
fn identifiers_contain_no_withdrawn_word() {
    let rules = naming_rules();
    assert!(rules.withdrawn_count() > 60, "the glossary lists {} withdrawn words", rules.withdrawn_count());
    let found = identifiers_with_withdrawn_words(&repository_root(), &rules);
    let unexplained: Vec<_> = found.iter().filter(|(name, _)| !rules.exceptions().contains(*name)).collect();
    assert!(unexplained.is_empty(), "{unexplained:?} contain withdrawn words (docs/glossary.md)");
}

#[test]
fn exceptions_are_few_and_all_in_use() {
    let rules = naming_rules();
    let found = identifiers_with_withdrawn_words(&repository_root(), &rules);
    assert!(rules.exceptions().len() <= MOST_EXCEPTIONS, "{} exceptions", rules.exceptions().len());
    let unused: Vec<_> = rules.exceptions().iter().filter(|name| !found.contains_key(*name)).collect();
    assert!(
        unused.is_empty(),
        "{unused:?} are listed in docs/glossary.md, and nothing in the code has these names"
    );
}

#[test]
fn links_of_the_documentation_lead_somewhere() {
    let broken = links::broken_links(&repository_root());
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn each_log_line_at_warn_or_error_is_explained_on_a_page() {
    let root = repository_root();
    assert!(log_lines::log_lines(&root).len() > 30, "the pattern finds log lines");
    let unexplained = log_lines::unexplained(&root);
    assert!(unexplained.is_empty(), "not on docs/on-call.md or docs/operating.md: {unexplained:#?}");
}
