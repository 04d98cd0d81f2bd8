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
	"src/exchange askStart":          "maxReportBytes: TestStartReportsWithoutEndAreCutOff",
	"src/exchange discardBody":       "maxRejectionBytes, rejectionBodyTimeout: TestRejectionsBodyIsReadUpToALimit",
	"src/exchange readRetained":      "maxBufferedBytes, retention: TestBodiesWithoutEndTakeLittleMemory",
	"src/exchange relayUnbuffered":   "passed on as it arrives: TestBodiesWithoutEndTakeLittleMemory",
	"src/exchange relayStream":       "maxEventBytes, retention: TestIncompleteEventsAreCountedAsBuffered",
	"src/exchange readBody":          "a client's body, by the configuration's limit and retention: TestSlowClientsKeepABoundedPartOfAGateway",
	"platform readReport":            "maxOrderBodyBytes: TestResponsesToControlNodesAreLimited",
	"platform discardBody":           "maxOrderBodyBytes: TestResponsesToControlNodesAreLimited",
	"platform putConfiguration":      "an operator's body, maxBodyBytes",
	"platform decodeHeartbeat":       "maxHeartbeatBytes: TestHeartbeatWithoutEndIsRefused",
	"platform unknownFields":         "what decodeHeartbeat has read",
}

// readCall matches the calls by which bytes of a connection or a body are read.
var readCall = regexp.MustCompile(`^(http\.ReadResponse|io\.(ReadAll|ReadFull|ReadAtLeast|Copy\w*)|json\.NewDecoder|bufio\.New\w+|.*\.Body\.Read)$`)

func TestEachReadOfWhatOthersSendHasALimit(t *testing.T) {
	is := is.New(t)
	found := map[string]bool{}
	for _, folder := range []string{"src/exchange", "src/fleet", "src/placer", "platform"} {
		for _, file := range sourceFiles(t, filepath.Join("../..", folder)) {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			is.NoErr(err)
			for _, declared := range parsed.Decls {
				function, isFunction := declared.(*ast.FuncDecl)
				if isFunction && readsFromOthers(function) {
					found[folder+" "+function.Name.Name] = true
				}
			}
		}
	}
	is.Equal(slices.Sorted(maps.Keys(found)), slices.Sorted(maps.Keys(reads)))
}

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

// readsFromOthers reports whether a function contains a call that matches readCall.
func readsFromOthers(function *ast.FuncDecl) bool {
	found := false
	ast.Inspect(function, func(n ast.Node) bool {
		if call, isCall := n.(*ast.CallExpr); isCall {
			found = found || readCall.MatchString(selector(call.Fun))
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
