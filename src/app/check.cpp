#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "app/command.h"
#include "app/commandline.h"
#include "app/files.h"
#include "config/documentjson.h"
#include "config/settings.h"
#include "entry/entrysettings.h"
#include "entry/requestexchange.h"
#include "mangoshift/configcheck.h"
#include "platform/platformadapter.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;

constexpr const char *Usage =
    "Usage: mangoshift check [--json] --settings FILE | --entry-settings FILE\n"
    "       mangoshift check [--json] --document FILE [--against FILE]\n"
    "       mangoshift check [--json] --routing FILE [--against FILE] [--entry-settings FILE]\n"
    "\n"
    "Validates the settings of a process, the operators' document or the platform's routing\n"
    "document, as an entry VM does, and prints each fault with its place. Of a document, also\n"
    "prints entries that can never be used, limits that contradict each other, and differences\n"
    "from the one in force. Exits with 0 if there are no errors, with 1 if any; warnings and\n"
    "differences are no errors.\n"
    "\n"
    "  -s, --settings FILE        settings of `serve` to check; may be repeated\n"
    "  -e, --entry-settings FILE  settings of `entry` to check; may be repeated. The hedges of a\n"
    "                             routing document are compared with the last one's retry budget\n"
    "  -d, --document FILE        document to check; may be repeated\n"
    "  -r, --routing FILE         routing document to check; may be repeated\n"
    "  -a, --against FILE         version in force of the only document or routing document\n"
    "  -j, --json                 print the results as JSON\n"
    "  -h, --help                 print this text\n";

struct CheckOptions
{
    std::vector<std::string> settings;
    std::vector<std::string> entrySettings;
    std::vector<std::string> documents;
    std::vector<std::string> routings;
    std::string against;
    bool isJson = false;
};

const char *nameOf(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

const char *nameOf(FindingKind kind)
{
    switch (kind) {
    case FindingKind::Rejected:
        return "rejected";
    case FindingKind::Unused:
        return "unused";
    case FindingKind::Contradiction:
        return "contradiction";
    }
    return "";
}

/// Returns the findings for a text that is not accepted. `prefix` begins each of their texts.
Findings rejections(const Faults &faults, const std::string &prefix = "")
{
    Findings findings;
    for (const Fault &fault : faults)
        findings.push_back({FindingSeverity::Error, FindingKind::Rejected,
                            fault.path.empty() ? "(root)" : fault.path, prefix + fault.message});
    return findings;
}

Json jsonOf(const std::string &path, const ConfigCheck &check)
{
    Json json{{"file", path}, {"findings", Json::array()}};
    for (const Finding &each : check.findings)
        json["findings"].push_back({{"severity", nameOf(each.severity)},
                                    {"kind", nameOf(each.kind)},
                                    {"place", each.place},
                                    {"text", each.text}});
    if (!check.differences)
        return json;
    json["differences"] = Json::array();
    const auto jsonOfValue = [](const std::optional<std::string> &value) {
        return value ? Json(*value) : Json(nullptr);
    };
    for (const ConfigDifference &each : *check.differences)
        json["differences"].push_back({{"place", each.place},
                                       {"field", each.field},
                                       {"before", jsonOfValue(each.before)},
                                       {"after", jsonOfValue(each.after)}});
    return json;
}

std::string textOf(const ConfigDifference &difference)
{
    std::string text = difference.place;
    if (!difference.field.empty())
        text += ": " + difference.field;
    if (difference.before && difference.after)
        return text + ": " + *difference.before + " -> " + *difference.after;
    const auto &value = difference.before ? difference.before : difference.after;
    text += difference.before ? " removed" : " added";
    return *value == "present" ? text : text + ": " + *value;
}

void printText(const std::string &path, const ConfigCheck &check)
{
    for (const Finding &each : check.findings)
        std::printf("%s: %s%s: %s\n", path.c_str(),
                    each.severity == FindingSeverity::Error ? "" : "warning: ", each.place.c_str(),
                    each.text.c_str());
    if (check.findings.empty())
        std::printf("%s: no faults\n", path.c_str());
    if (!check.differences)
        return;
    for (const ConfigDifference &each : *check.differences)
        std::printf("%s: difference: %s\n", path.c_str(), textOf(each).c_str());
    if (check.differences->empty())
        std::printf("%s: no differences\n", path.c_str());
}

/// Checks files and prints what is found.
class FileChecker
{
public:
    explicit FileChecker(CheckOptions options)
        : m_options(std::move(options))
    {
    }

    /// Returns the exit status.
    int run()
    {
        for (const std::string &path : m_options.settings)
            checkFile(path, parseSettings,
                      [](const auto &, const auto *) { return ConfigCheck(); });
        for (const std::string &path : m_options.entrySettings)
            checkFile(path, parseEntrySettings,
                      [this](const EntrySettings &settings, const auto *) {
                          m_hedges = HedgeTerms{1.0 - HedgeQuantile, settings.retryBudget.ratio};
                          return ConfigCheck();
                      });
        for (const std::string &path : m_options.documents)
            checkFile(
                path, [](const std::string &text) { return parseDocument(text, 1); },
                checkDocument);
        for (const std::string &path : m_options.routings)
            checkRoutingFile(path);
        if (m_options.isJson)
            std::printf("%s\n",
                        m_results.dump(2, ' ', false, Json::error_handler_t::replace).c_str());
        return m_worstStatus;
    }

private:
    void checkRoutingFile(const std::string &path)
    {
        // The corrections of the last text that was parsed, which is the one to check.
        Findings corrections;
        const auto parse =
            [&corrections](const std::string &text) -> tl::expected<RoutingDocument, Faults> {
            auto document = platform::adapter().parseConfiguration(text);
            if (!document) {
                const std::string &error = document.error();
                const std::size_t end = error.find(": ");
                return tl::make_unexpected(Faults{{error.substr(0, end), error.substr(end + 2)}});
            }
            corrections.clear();
            (void)platform::decodeDocument(Json::parse(text), &corrections);
            return std::move(*document);
        };
        checkFile(path, parse, [&](const RoutingDocument &next, const RoutingDocument *current) {
            ConfigCheck check = checkRouting(next, current, m_hedges);
            check.findings.insert(check.findings.begin(), corrections.begin(), corrections.end());
            return check;
        });
    }

    /// Parses a file and checks it with `check`, whose second argument is the version in force: a
    /// null pointer if there is none or it is invalid. That version is parsed first.
    template <typename Parse, typename Check>
    void checkFile(const std::string &path, Parse parse, Check check)
    {
        using Parsed = typename decltype(parse(path))::value_type;
        constexpr bool isConfiguration =
            std::is_same_v<Parsed, Document> || std::is_same_v<Parsed, RoutingDocument>;
        std::optional<Parsed> current;
        Findings faultsInForce;
        if (isConfiguration && !m_options.against.empty()) {
            const auto text = read(m_options.against);
            if (!text)
                return;
            if (auto parsed = parse(*text))
                current = std::move(*parsed);
            else
                faultsInForce = rejections(parsed.error(), m_options.against + ": ");
        }
        const auto text = read(path);
        if (!text)
            return;
        const auto parsed = parse(*text);
        ConfigCheck result = parsed ? check(*parsed, current ? &*current : nullptr)
                                    : ConfigCheck{rejections(parsed.error()), std::nullopt};
        result.findings.insert(result.findings.end(), faultsInForce.begin(), faultsInForce.end());
        print(path, result);
    }

    /// Returns the text of a file, or no value after an error message.
    std::optional<std::string> read(const std::string &path)
    {
        const auto text = readFile(path);
        if (text)
            return *text;
        std::fprintf(stderr, "mangoshift check: %s\n", text.error().c_str());
        m_worstStatus = ExitFailure;
        return std::nullopt;
    }

    void print(const std::string &path, const ConfigCheck &check)
    {
        if (check.hasErrors())
            m_worstStatus = std::max<int>(m_worstStatus, ExitFault);
        if (m_options.isJson)
            m_results.push_back(jsonOf(path, check));
        else
            printText(path, check);
    }

    CheckOptions m_options;
    std::optional<HedgeTerms> m_hedges;
    Json m_results = Json::array();
    int m_worstStatus = ExitOk;
};

CommandOption fileOption(const char *name, char letter, std::vector<std::string> &paths)
{
    return {name, letter, [&paths](const char *path) {
                paths.emplace_back(path);
                return true;
            }};
}

} // namespace

int checkMain(int argc, char **argv)
{
    CheckOptions options;
    const auto operands = readCommandLine(argc, argv, Usage,
                                          {fileOption("settings", 's', options.settings),
                                           fileOption("entry-settings", 'e', options.entrySettings),
                                           fileOption("document", 'd', options.documents),
                                           fileOption("routing", 'r', options.routings),
                                           textOption("against", 'a', options.against),
                                           flagOption("json", 'j', options.isJson)});
    if (!operands)
        return operands.error();
    const std::size_t documents = options.documents.size() + options.routings.size();
    const bool hasFile = documents + options.settings.size() + options.entrySettings.size() > 0;
    if (!hasFile || !operands->empty() || (!options.against.empty() && documents != 1))
        return usageError(Usage);
    return FileChecker(std::move(options)).run();
}

} // namespace mangoshift
