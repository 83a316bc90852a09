#include "emulator/query.h"

#include <charconv>

namespace nickelramp::emulator {

std::string parameter(const std::string& query, const std::string& name) {
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
}

Millis number(const std::string& query, const std::string& name, Millis default_value) {
    const std::string text = parameter(query, name);
    Millis out = default_value;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

}  // namespace nickelramp::emulator
