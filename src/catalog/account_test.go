package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const secret = "q7w2-a-client's-secret"

func keyed(accounts ...Account) Document {
	d := validDocument()
	d.KeysRequired = true
	d.Accounts = accounts
	return d
}

func account(name string, keys ...Key) Account {
	return Account{Name: name, Keys: keys, Limit: Limit{Unit: Tokens, Rate: 10, Burst: 10}}
}

func TestAKeyIsNeverPrinted(t *testing.T) {
	is := is.New(t)
	d := keyed(account("a", secret), account("b", secret))
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		is.True(!strings.Contains(fmt.Sprintf(verb, d), secret))
	}
	is.True(!strings.Contains(Check(d).Error(), secret))
}

func TestAccountErrorsAreFoundWithLocation(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(keyed(account("a", "k1", "k2"), account("b")))), 0)
	findings := Check(keyed(account("a", "k1"), account("b", "k2", "k1")))
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Location, `accounts[1] "b" keys[1]`)
	is.True(strings.Contains(findings[0].Message, `"a"`) && strings.Contains(findings[0].Message, `"b"`))
	for _, faulty := range []Document{
		keyed(account("")),
		keyed(account("a"), account("a")),
		keyed(account("a", "")),
		keyed(Account{Name: "a", Limit: Limit{Unit: Tokens, Rate: -1}}),
		keyed(Account{Name: "a", Limit: Limit{Unit: "apples"}}),
	} {
		is.Equal(len(Check(faulty)), 1)
	}
}

func TestCostOfARequest(t *testing.T) {
	is := is.New(t)
	byTokens := Account{Limit: Limit{Unit: Tokens}, DefaultTokens: 200}
	is.Equal(byTokens.Cost(1500), 1500.0)
	is.Equal(byTokens.Cost(0), 200.0)
	byRequests := Account{Limit: Limit{Unit: Requests}, DefaultTokens: 200}
	is.Equal(byRequests.Cost(1500), 1.0)
}

func manyAccounts(n int) *Table {
	d := keyed()
	for i := range n {
		d.Accounts = append(d.Accounts, account(fmt.Sprint("account-", i), Key(fmt.Sprint("key-of-", i))))
	}
	return NewTable(d)
}

func TestAnAccountIsFoundWithoutAllocation(t *testing.T) {
	is := is.New(t)
	table := manyAccounts(10000)
	is.Equal(table.AccountOf("key-of-9999").Name, "account-9999")
	is.Equal(table.Account("account-7").Name, "account-7")
	is.True(table.AccountOf("nobody's") == nil)
	is.Equal(testing.AllocsPerRun(100, func() { table.AccountOf("key-of-5000") }), 0.0)
}

// BenchmarkAccountOf shows that the cost of a lookup does not depend on the number of accounts.
func BenchmarkAccountOf(b *testing.B) {
	for _, n := range []int{16, 10000} {
		table := manyAccounts(n)
		key := Key(fmt.Sprint("key-of-", n/2))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				table.AccountOf(key)
			}
		})
	}
}
