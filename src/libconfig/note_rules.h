#pragma once

#include "contents.h"

/// The rules by which a note fits a configuration. A fault that comes from a change after the
/// note's base is a conflict; any other is a problem.
namespace redwingwheel::config {

struct note_findings {
    std::vector<conflict> conflicts;
    problem_list problems;
    bool detect_conflicts = true;
};

/// Checks what the note touches against the revisions after its base.
void check_touched(const core_state& core, const release_note& note, note_findings& findings);

/// Checks that everything in `proposed` refers to things that exist. `before` is the state that
/// the note was applied to.
void check_references(const core_state& before, const core_state& proposed,
                      const release_note& note, note_findings& findings);

} // namespace redwingwheel::config
