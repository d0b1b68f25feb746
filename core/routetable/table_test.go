package routetable_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/routetable"
)

func table() *routetable.Table {
	return routetable.New(7, []routetable.Route{
		{
			Name:       "short",
			Host:       "a.example",
			PathPrefix: "/x/",
		},
		{
			Name:       "long",
			Host:       "a.example",
			PathPrefix: "/x/y/",
		},
		{
			Name:       "other",
			Host:       "B.example",
			PathPrefix: "/x/",
		},
	}, []routetable.Service{
		{
			Name: "two",
		},
		{
			Name: "one",
		},
	}, routetable.Limits{})
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	for _, tc := range []struct {
		host string
		path string
		want string
	}{
		{host: "a.example", path: "/x/", want: "short"},
		{host: "a.example", path: "/x/z", want: "short"},
		{host: "a.example", path: "/x/y", want: "short"},
		{host: "a.example", path: "/x/y/", want: "long"},
		{host: "a.example", path: "/x/y/z?q", want: "long"},
		{host: "A.Example:80", path: "/x/y/z", want: "long"},
		{host: "b.example", path: "/x/y/z", want: "other"},
		{host: "a.example", path: "/x", want: ""},
		{host: "a.example", path: "", want: ""},
		{host: "c.example", path: "/x/", want: ""},
		{host: "", path: "/x/", want: ""},
		{host: "[::1]:80", path: "/x/", want: ""},
	} {
		r, ok := table().Match(tc.host, tc.path)
		require.Equal(t, tc.want != "", ok, "%s %s", tc.host, tc.path)
		require.Equal(t, tc.want, r.Name, "%s %s", tc.host, tc.path)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := routetable.Route{
		Shares: []routetable.Share{
			{
				Service: "most",
				Weight:  90,
			},
			{
				Service: "none",
				Weight:  0,
			},
			{
				Service: "few",
				Weight:  10,
			},
		},
	}
	picked := make(map[waxwingpick.ServiceName]int)
	for i := range 1000 {
		picked[r.SelectService(float64(i)/1000)]++
	}
	require.Equal(t, map[waxwingpick.ServiceName]int{
		"most": 900,
		"few":  100,
	}, picked)
	require.Empty(t, routetable.Route{}.SelectService(0.5))
}

func TestServicesAreSorted(t *testing.T) {
	require.Equal(t, []waxwingpick.ServiceName{"one", "two"}, table().Services())
	require.EqualValues(t, 7, table().Version())
}
