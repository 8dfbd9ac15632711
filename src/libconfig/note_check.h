#pragma once

#include "redwingwheel/release_note.h"

namespace redwingwheel::config {

/// Adds a problem for each fault that shows without the configuration: duplicates, one thing in
/// two sections, changes of nothing, terms that end before they start, a note without content.
void check_note(const release_note& note, problem_list& problems);

} // namespace redwingwheel::config
