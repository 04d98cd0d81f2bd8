package exchange

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// reads lists the functions that read what other processes send, with what limits them. A new one has to be
// added here, and to the tests named, before its first use.
var reads = map[string]string{
	"src/exchange newResponseReader": "no read of its own",
	"src/exchange next":              "maxLateResponses, maxLateBytes: TestLateResponsesAreSkippedUpToALimit",
	"src/exchange nextHead":          "maxHeadBytes, maxInterimResponses: TestHeadsWithoutEndAreCutOff",
	"src/exchange ask":               "maxReportBytes: TestStartReportsWithoutEndAreCutOff; maxCopyReplyBytes: TestAReplyWithoutEndToTheQuestionForACopyIsNotRead",
	"src/exchange discardBody":       "maxRejectionBytes, rejectionBodyTimeout: TestRejectionsBodyIsReadUpToALimit",
	"src/exchange readRetained":      "maxBufferedBytes, retention: TestBodiesWithoutEndTakeLittleMemory",
	"src/exchange relayUnbuffered":   "passed on as it arrives: TestBodiesWithoutEndTakeLittleMemory",
	"src/exchange relayStream":       "maxEventBytes, retention: TestIncompleteEventsAreCountedAsBuffered",
	"src/exchange readBody":          "a client's body, by the configuration's limit and retention: TestSlowClientsKeepABoundedPartOfAGateway",
	"platform decodeReport":          "maxOrderBodyBytes, maxObjects: TestResponsesToControlNodesAreLimited, TestManySmallObjectsTakeLittleMemory",
	"platform discardBody":           "maxOrderBodyBytes: TestResponsesToControlNodesAreLimited",
	"platform putConfiguration":      "an operator's body, maxBodyBytes",
	"platform decodeHeartbeat":       "maxHeartbeatBytes, maxObjects: TestHeartbeatWithoutEndIsRefused, TestManySmallObjectsTakeLittleMemory",
	"platform unknownFields":         "what decodeHeartbeat has read",
	"src/dial awaitHead":             "maxHeadBytes, maxInterimResponses: TestPlainAnswersWithoutEndAreCutOff",
	"src/dial Close":                 "maxRestBytes, maxKeptBytes: TestPlainAnswersWithoutEndAreCutOff",
	"src/dial ReadBody":              "Options.MaxBody, maxKeptBytes: TestPlainAnswersWithoutEndAreCutOff, TestAnswersWithoutEndToControlNodesAreCutOff",
	"src/dial ReadStart":             "its argument, maxKeptBytes: TestStreamsWithoutEndAreCutOff",
	"src/engine Open":                "maxEventBytes: TestStreamsWithoutEndAreCutOff",
}

// readCall matches the calls by which bytes of a connection or a body are read.
var readCall = regexp.MustCompile(`^(http\.ReadResponse|io\.(ReadAll|ReadFull|ReadAtLeast|Copy\w*)|json\.NewDecoder|bufio\.New\w+|.*\.Body\.Read|response\.BodyE?|sse\.NewReader)$`)

func TestEachReadOfWhatOthersSendHasALimit(t *testing.T) {
	is := is.New(t)
	found := map[string]bool{}
	for _, folder := range []string{"src/exchange", "src/fleet", "src/placer", "platform", "src/dial", "src/discovery", "src/engine", "src/gateway", "src/service"} {
		for _, file := range sourceFiles(t, filepath.Join("../..", folder)) {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			is.NoErr(err)
			for _, declared := range parsed.Decls {
				function, isFunction := declared.(*ast.FuncDecl)
				if isFunction && calls(function, readCall) {
					found[folder+" "+function.Name.Name] = true
				}
			}
		}
	}
	is.Equal(slices.Sorted(maps.Keys(found)), slices.Sorted(maps.Keys(reads)))
}

// heads lists the functions that read the heads, or frames, of what other processes answer, with the tests that
// cut them off at every byte. A new one has to be added here, with its test.
var heads = map[string][]string{
	"platform readReport":    {"TestACutReportIsNoOther"},
	"platform sendOrder":     {"TestACutHeadAnswersNoOrder"},
	"src/cli post":           {"TestACutAnswerOfAControlNodeIsNoOther"},
	"src/dial Do":            {"TestACutHeadIsNoAnswer", "TestACutBodyIsNoAnswer", "TestACutStreamEndsNoEvent"},
	"src/dial awaitHead":     {"TestACutHeadIsNoAnswer", "TestACutStreamEndsNoEvent"},
	"src/discovery Read":     {"TestACutListIsNoOther"},
	"src/engine Open":        {"TestACutStreamEndsNoEvent", "TestClientsGetNoStreamThatWasCutAsAWholeOne"},
	"src/engine exchange":    {"TestACutAnswerOfAnEngineIsNoOtherReportOrReply"},
	"src/exchange ask":       {"TestACutReportTellsNoStart", "TestACutReplyTellsOfNoCopy"},
	"src/exchange nextHead":  {"TestACutResponseIsNotRead"},
	"src/exchange readHead":  {"TestAHeadThatNamesTwoRequestsAnswersNeither", "TestClientsGetNoAnswerOfAReplicaThatWasCut", "TestClientsGetNoAnswerOfAnotherGatewayThatWasCut"},
	"src/fleet RoundTrip":    {"TestACutResponseToAControlNodeIsNoResponse"},
	"src/rpc newFrameStream": {"TestACutAnswerOfAPeerIsNoAnswer"},
	"src/service Do":         {"TestACutHeadIsNoAnswer", "TestClientsGetNoAnswerOfAPlainServiceThatWasCut"},
}

// headCall matches the calls by which heads of answers are read.
var headCall = regexp.MustCompile(`^(http\.ReadResponse|jsonrpc2\.NewBufferedStream|sse\.NewReader|(.*\.)?([cC]lient|http)\.Do|.*\.transport\.RoundTrip|.*\.reader\.next)$`)

func TestEachHeadIsCutOffInATest(t *testing.T) {
	is := is.New(t)
	tests := map[string]bool{}
	found := map[string]bool{}
	for _, root := range []string{"../../src", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			folder := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../../")
			for _, declared := range parsed.Decls {
				function, isFunction := declared.(*ast.FuncDecl)
				switch {
				case !isFunction, toolFolders[folder]:
				case strings.HasSuffix(path, "_test.go"):
					tests[function.Name.Name] = true
				case calls(function, headCall):
					found[folder+" "+function.Name.Name] = true
				}
			}
			return nil
		})
		is.NoErr(err)
	}
	is.Equal(slices.Sorted(maps.Keys(found)), slices.Sorted(maps.Keys(heads)))
	for place, names := range heads {
		for _, name := range names {
			if !tests[name] {
				t.Errorf("%s: there is no %s", place, name)
			}
		}
	}
}

// toolFolders holds the folders of programs that only tests and measurements use.
var toolFolders = map[string]bool{"src/emulator": true, "src/capacity": true, "src/cuttest": true}

// sourceFiles returns the Go files of a folder without those of its tests.
func sourceFiles(t *testing.T, folder string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// calls reports whether a function contains a call that matches an expression.
func calls(function *ast.FuncDecl, match *regexp.Regexp) bool {
	found := false
	ast.Inspect(function, func(n ast.Node) bool {
		if call, isCall := n.(*ast.CallExpr); isCall {
			found = found || match.MatchString(selector(call.Fun))
		}
		return true
	})
	return found
}

// selector returns an expression of the form a.b.c as text, "" for any other.
func selector(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return selector(e.X) + "." + e.Sel.Name
	}
	return ""
}
