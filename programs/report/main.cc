/// \file
/// \brief Service-level burn report from histories and a catalogue.

#include <cstdio>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "filbertspar/burn/burn.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/program/program.h"
#include "tclap/CmdLine.h"

namespace filbertspar::report {
namespace {

struct Options {
  std::string m_catalogue;
  std::string m_account;
  std::string m_html;
  std::vector<std::string> m_histories;
};

absl::Status CannotRead(const std::string& path) {
  return Error(Code::kUsage, path + ": cannot be read");
}

absl::StatusOr<Catalogue> ReadCatalogue(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return CannotRead(path);
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  absl::StatusOr<JsonObject> document = ParseJsonObject(text);
  if (!document.ok()) {
    return document.status();
  }
  // The report needs no credentials, and an exported document has no hashes.
  document->erase("keys");
  document->erase("operators");
  Catalogue catalogue;
  FS_RETURN_IF_ERROR(FromJson(*document, catalogue));
  return catalogue;
}

absl::Status Run(const Options& options) {
  absl::StatusOr<Catalogue> catalogue = ReadCatalogue(options.m_catalogue);
  if (!catalogue.ok()) {
    return catalogue.status();
  }
  std::vector<CallRecord> calls;
  for (const std::string& path : options.m_histories) {
    std::ifstream file(path);
    if (!file) {
      return CannotRead(path);
    }
    FS_RETURN_IF_ERROR(ReadHistory(file, path, calls));
  }
  AccountRecord account;
  if (!options.m_account.empty()) {
    std::ifstream file(options.m_account);
    if (!file) {
      return CannotRead(options.m_account);
    }
    FS_RETURN_IF_ERROR(ReadAccount(file, options.m_account, account));
  }
  const BurnReport report =
      MakeBurnReport(*catalogue, calls, DefaultBurnRules());
  std::printf("%s", ReportAsText(report, account).c_str());
  if (!options.m_html.empty()) {
    std::ofstream file(options.m_html);
    file << ReportAsHtml(report, account);
    file.close();
    if (!file) {
      return Error(Code::kUsage, options.m_html + ": cannot be written");
    }
  }
  return absl::OkStatus();
}

absl::Status Main(int argc, const char* const* argv) {
  Options options;
  try {
    TCLAP::CmdLine line(
        "Error budgets and burn rates per workspace and class, from histories "
        "of filbertspar-load and a catalogue.",
        ' ', "0.1");
    line.setExceptionHandling(false);
    using Text = TCLAP::ValueArg<std::string>;
    Text catalogue("c", "catalogue",
                   "Catalogue document (filbertsparctl config export FILE)",
                   true, "", "FILE", line);
    Text account("a", "account",
                 "Fairness account: rows of table \"account\" as JSON lines",
                 false, "", "FILE", line);
    Text html("o", "html", "HTML page to write; the text is printed anyway",
              false, "", "FILE", line);
    TCLAP::UnlabeledMultiArg<std::string> histories(
        "history", "Histories as JSON lines", true, "HISTORY", line);
    line.parse(argc, argv);
    options = {catalogue.getValue(), account.getValue(), html.getValue(),
               histories.getValue()};
  } catch (const TCLAP::ArgException& error) {
    return Error(Code::kUsage, error.error() + " " + error.argId());
  } catch (const TCLAP::ExitException&) {
    return absl::OkStatus();
  }
  return Run(options);
}

}  // namespace
}  // namespace filbertspar::report

int main(int argc, char** argv) {
  return filbertspar::ExitCodeOf("filbertspar-report",
                                 filbertspar::report::Main(argc, argv));
}
