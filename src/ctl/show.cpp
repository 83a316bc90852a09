#include "ctl/show.h"

#include <fmt/format.h>

#include <algorithm>

#include "wire/json_text.h"

namespace nickelramp::ctl {

using wire::Json;

namespace {
std::string cell(const Json& map, const char* name) {
    const Json* v = wire::field(map, name);
    if (v == nullptr) return "-";
    if (v->is_string()) return v->get<std::string>();
    if (v->is_number_float()) return fmt::format("{:g}", v->get<double>());
    return v->dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool number(const std::string& s) {
    return !s.empty() && s.find_first_not_of("0123456789.-+e") == std::string::npos && s != "-";
}

// Puts a blank line before the text.
std::string after_blank_line(const std::string& text) { return fmt::format("\n{}", text); }

const Json& array_field(const Json& map, const char* name) {
    static const Json none = Json::array();
    const Json* v = wire::field(map, name);
    return v != nullptr && v->is_array() ? *v : none;
}

std::string rows_of(const Json& list, const std::vector<const char*>& names) {
    std::vector<std::string> head(names.begin(), names.end());
    std::vector<std::vector<std::string>> rows;
    for (const Json& item : list) {
        std::vector<std::string> row;
        for (const char* n : names) row.push_back(cell(item, n));
        rows.push_back(std::move(row));
    }
    return table(head, rows);
}
}  // namespace

std::string table(const std::vector<std::string>& head,
                  const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths;
    std::vector<char> right(head.size(), 1);
    for (const std::string& h : head) widths.push_back(h.size());
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < head.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
            if (!number(row[i]) && row[i] != "-") right[i] = 0;
        }
    }
    std::string out;
    auto line = [&](const std::vector<std::string>& row) {
        std::string text;
        for (std::size_t i = 0; i < head.size(); ++i) {
            text += right[i] != 0 ? fmt::format("{:>{}}", row[i], widths[i])
                                  : fmt::format("{:<{}}", row[i], widths[i]);
            text += "  ";
        }
        text.erase(text.find_last_not_of(' ') + 1);
        out += text + "\n";
    };
    line(head);
    for (const auto& row : rows) line(row);
    return out;
}

std::string job_text(const Json& job) {
    std::string out = cell(job, "id") + " is " + cell(job, "status");
    if (wire::field(job, "done") != nullptr) {
        out += fmt::format(", {} tasks done, {} running", cell(job, "done"), cell(job, "running"));
    }
    return out + "\n";
}

std::string status_text(const Json& status) {
    std::string out = fmt::format("{} says: leader {}, state service {}\n", cell(status, "node"),
                                  cell(status, "leader"), cell(status, "state_service"));
    const Json* book = wire::field(status, "book");
    if (book == nullptr) return out + "no leader answered\n";
    out +=
        fmt::format("term {}{}, {} open jobs, {} waiting, {} late\n", cell(*book, "term"),
                    wire::flag_field(*book, "confirmed").value_or(false) ? "" : " (not confirmed)",
                    cell(*book, "open_jobs"), array_field(*book, "waiting").size(),
                    array_field(*book, "late").size());
    if (const Json* machines = wire::field(*book, "machines");
        machines != nullptr && machines->is_object()) {
        std::vector<std::vector<std::string>> rows;
        for (const auto& [state, n] : machines->items()) rows.push_back({state, n.dump()});
        if (!rows.empty()) out += after_blank_line(table({"machines", "number"}, rows));
    }
    if (!array_field(*book, "waiting").empty()) {
        out += after_blank_line(rows_of(array_field(*book, "waiting"),
                                        {"id", "class", "team", "tasks", "for_s", "why"}));
    }
    return out;
}

std::string late_text(const Json& status) {
    const Json* book = wire::field(status, "book");
    if (book == nullptr) return "no leader answered\n";
    if (array_field(*book, "late").empty()) return "no job is late, or about to be\n";
    return rows_of(array_field(*book, "late"),
                   {"id", "class", "objective", "within_s", "left_s", "why"});
}

std::string settings_text(const Json& settings) {
    std::vector<std::vector<std::string>> rows;
    for (const auto& [name, value] : settings.items()) rows.push_back({name, value.dump()});
    return table({"setting", "value"}, rows);
}

std::string plan_text(const Json& plan, bool moves) {
    std::string out = fmt::format("plan {} is {}: {} machines, empty after {} s, costs {} more\n",
                                  cell(plan, "id"), cell(plan, "state"), cell(plan, "machines"),
                                  cell(plan, "empty_s"), cell(plan, "cost"));
    std::vector<std::vector<std::string>> steps, tasks;
    for (const Json& s : array_field(plan, "steps")) {
        const Json& list = array_field(s, "moves");
        steps.push_back({cell(s, "machine"), cell(s, "type"), cell(s, "zone"), cell(s, "wave"),
                         std::to_string(list.size()), cell(s, "from_s"), cell(s, "empty_s")});
        for (const Json& m : list) {
            tasks.push_back({cell(s, "machine"), cell(m, "job") + "/" + cell(m, "task"),
                             cell(m, "how"), cell(m, "to"), cell(m, "leaves_s"), cell(m, "back_s"),
                             cell(m, "ends_s"), cell(m, "seen")});
        }
    }
    if (!steps.empty()) {
        out += after_blank_line(
            table({"machine", "type", "zone", "wave", "tasks", "from_s", "empty_s"}, steps));
    }
    if (moves && !tasks.empty()) {
        out += after_blank_line(
            table({"machine", "task", "how", "to", "leaves_s", "back_s", "ends_s", "seen"}, tasks));
    }
    if (!array_field(plan, "hires").empty()) {
        out += after_blank_line(
            rows_of(array_field(plan, "hires"), {"type", "zone", "count", "price"}));
    }
    if (!array_field(plan, "refusals").empty()) {
        out += after_blank_line(
            rows_of(array_field(plan, "refusals"),
                    {"job", "task", "machine", "due_s", "ends_s", "why", "instead"}));
    }
    for (const Json& name : array_field(plan, "passed_over")) {
        if (name.is_string()) out += "passed over: " + name.get<std::string>() + "\n";
    }
    return out;
}

std::string plans_text(const Json& plans) {
    if (array_field(plans, "plans").empty()) return "no plans\n";
    return rows_of(array_field(plans, "plans"),
                   {"id", "state", "machines", "refused", "empty_s", "cost"});
}

std::string error_text(int status, const std::string& body) {
    Json answer = wire::decode_json(body).value_or(Json());
    if (!answer.is_object()) answer = wire::decode_reply_map(body).value_or(Json::object());
    std::string out = fmt::format("the service says {}", status);
    if (wire::field(answer, "error") != nullptr) out += ": " + cell(answer, "error");
    for (const char* name : {"field", "least", "most"}) {
        if (wire::field(answer, name) != nullptr)
            out += fmt::format(", {} {}", name, cell(answer, name));
    }
    return out + "\n";
}

}  // namespace nickelramp::ctl
