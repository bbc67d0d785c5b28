#include "programs/ctl/options.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tclap/CmdLine.h"

namespace filbertspar::ctl {
namespace {

constexpr const char* kKeyVariable = "FILBERTSPAR_OPERATOR_KEY";
constexpr const char* kAddressVariable = "FILBERTSPAR_ADDRESSES";

constexpr const char* kHelp =
    R"(usage: filbertsparctl [OPTIONS] COMMAND [ARGUMENTS]

Administers filbertspar through the administration port of an entry process.

Options
  -a, --address LIST     IP:PORT[,IP:PORT...], tried in order; by default
                         the variable FILBERTSPAR_ADDRESSES
  -k, --key-file FILE    file with the operator key; by default the variable
                         FILBERTSPAR_OPERATOR_KEY. The key is never an
                         argument, since other users can list those.
  -j, --json             the answer as one line of JSON
  -n, --dry-run          show what would change, change nothing
  -b, --base VERSION     refuse the change unless VERSION is in force
  -f, --file FILE        JSON object with the fields of an item
  -c, --count N          watch: stop after N rounds (0: never)
  -p, --period-ms MS     watch: time between rounds (1000)
  -t, --timeout-ms MS    longest wait for one answer (10000)
  -h, --help             this text
      --version          version of the program

Commands
  status                          state of the entry process at each address
  watch                           status again and again
  KIND list                       KIND: workspaces teams entries pools
                                  objectives keys operators vms
  KIND show NAME
  KIND add NAME FIELD=VALUE...    workspaces teams entries pools objectives
  KIND change NAME FIELD=VALUE... the same and operators
  KIND remove NAME                all but entries, keys and vms
  entries withdraw NAME           callers get "entry_withdrawn" from then on
  keys grant NAME TEAM            prints the new key, this once
  keys revoke NAME
  operators add NAME ROLE         viewer, fleet or admin; prints the new key
  vms register NAME FIELD=VALUE...
  drain VM                        takes a VM out of service gracefully
  drain cancel VM
  config list                     the last versions and what each changed
  config nodes                    the version in force at each entry process
  config show [VERSION]
  config export FILE [VERSION]
  config apply FILE               puts an exported and edited document in force
  config compare FROM [TO]        TO is the version in force by default
  config restore VERSION          keys and operators stay as they are
  explain job ID | vm NAME | shares

An objective is named WORKSPACE.CLASS. The exit code is that of the result
code (docs/codes.md): 0 done, 2 usage, 30 operator key, 31 conflict with a
newer version, 32 not valid, 33 no such thing, 34 not known whether the change
was committed, 35 no entry process answered.

Examples
  export FILBERTSPAR_ADDRESSES=127.0.0.1:8001,127.0.0.2:8001
  filbertsparctl -k operator.key status
  filbertsparctl -k operator.key teams change billing ceiling=40 --dry-run
  filbertsparctl -k operator.key entries add stock-count owner=billing \
      pool=stock class=standard run_time_ms=300
  filbertsparctl -k operator.key keys grant billing-2 billing
  filbertsparctl -k operator.key drain vm-004
  filbertsparctl -k operator.key config compare 12
  filbertsparctl -k operator.key --json vms list
)";

class Help : public TCLAP::StdOutput {
 public:
  void usage(TCLAP::CmdLineInterface& /*line*/) override {
    std::fputs(kHelp, stdout);
  }
};

std::string Variable(const char* name) {
  // The program has one thread, which does not change its environment.
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? "" : value;
}

absl::StatusOr<std::string> ReadKey(const std::string& path) {
  std::string key = Variable(kKeyVariable);
  if (!path.empty()) {
    std::ifstream file(path);
    if (!file) {
      return Error(Code::kOperatorKeyMissing, path + ": cannot be read");
    }
    key.assign(std::istreambuf_iterator<char>(file), {});
  }
  absl::StripAsciiWhitespace(&key);
  if (key.empty()) {
    return Error(Code::kOperatorKeyMissing,
                 absl::StrCat("give --key-file or set ", kKeyVariable));
  }
  for (const char c : key) {
    if (!absl::ascii_isgraph(static_cast<unsigned char>(c))) {
      return Error(Code::kOperatorKeyMissing,
                   "the operator key has a character that no key has");
    }
  }
  return key;
}

absl::Status ReadAddresses(std::string text, std::vector<Endpoint>& out) {
  if (text.empty()) {
    text = Variable(kAddressVariable);
  }
  if (text.empty()) {
    return Error(Code::kUsage,
                 absl::StrCat("give --address or set ", kAddressVariable));
  }
  for (absl::string_view item : absl::StrSplit(text, ',')) {
    const absl::string_view trimmed = absl::StripAsciiWhitespace(item);
    const std::optional<Endpoint> endpoint =
        ParseEndpoint({trimmed.data(), trimmed.size()});
    if (!endpoint) {
      return Error(Code::kUsage,
                   absl::StrCat("address \"", trimmed, "\": expected IP:PORT"));
    }
    out.push_back(*endpoint);
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Options> ReadOptions(int argc, const char* const* argv) {
  Options options;
  std::string addresses;
  std::string key_file;
  try {
    TCLAP::CmdLine line("filbertsparctl", ' ', "0.1");
    Help help;
    line.setOutput(&help);
    line.setExceptionHandling(false);
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::int64_t>;
    Text address("a", "address", "", false, "", "LIST", line);
    Text key("k", "key-file", "", false, "", "FILE", line);
    Text file("f", "file", "", false, "", "FILE", line);
    Number base("b", "base", "", false, 0, "VERSION", line);
    Number count("c", "count", "", false, 0, "N", line);
    Number period("p", "period-ms", "", false, 1000, "MS", line);
    Number timeout("t", "timeout-ms", "", false, 10'000, "MS", line);
    TCLAP::SwitchArg json("j", "json", "", line);
    TCLAP::SwitchArg dry_run("n", "dry-run", "", line);
    TCLAP::UnlabeledMultiArg<std::string> words(
        "command", "Command and arguments", true, "COMMAND", line);
    line.parse(argc, argv);
    addresses = address.getValue();
    key_file = key.getValue();
    options.m_file = file.getValue();
    options.m_base = base.getValue();
    options.m_count = count.getValue();
    options.m_period = Milliseconds(period.getValue());
    options.m_timeout = Milliseconds(timeout.getValue());
    options.m_json = json.getValue();
    options.m_dry_run = dry_run.getValue();
    options.m_words = words.getValue();
  } catch (const TCLAP::ArgException& error) {
    return Error(Code::kUsage, absl::StrCat(error.error(), " ", error.argId(),
                                            "; see filbertsparctl --help"));
  } catch (const TCLAP::ExitException&) {
    options.m_done = true;
    return options;
  }
  if (options.m_base < 0 || options.m_count < 0 ||
      options.m_period < Milliseconds(1) ||
      options.m_timeout < Milliseconds(1)) {
    return Error(Code::kUsage, "a number is out of its range");
  }
  FS_RETURN_IF_ERROR(ReadAddresses(addresses, options.m_addresses));
  absl::StatusOr<std::string> key = ReadKey(key_file);
  if (!key.ok()) {
    return key.status();
  }
  options.m_operator_key = *std::move(key);
  return options;
}

}  // namespace filbertspar::ctl
