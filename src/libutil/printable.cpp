#include "redwingwheel/printable.h"

namespace redwingwheel {

std::string printable(std::string_view text, std::size_t max_bytes)
{
    std::string shown;
    for (const char letter : text.substr(0, max_bytes)) {
        const unsigned char byte = static_cast<unsigned char>(letter);
        shown += byte < 0x20 || byte >= 0x7f ? '?' : letter;
    }
    if (text.size() > max_bytes) {
        shown += "...";
    }
    return shown;
}

} // namespace redwingwheel
