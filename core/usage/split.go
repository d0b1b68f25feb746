package usage

import (
	"maps"
	"slices"

	"waxwingpick"
)

const (
	// pieceSize is the maximum encoded size of a piece without its entries, in bytes: five headers and integers.
	pieceSize = 5 * 9
	// entrySize is the maximum encoded size of an entry without its name, in bytes: the header of the name and the count.
	entrySize = 2 + 9
)

// Split distributes reports over messages of at most maxBytes each. The pieces may be applied in any order, with losses
// and repeats. A message contains at least one entry, even if it is larger than maxBytes.
func Split(reports []WindowCounts, maxBytes int) [][]WindowCounts {
	return split(reports, maxBytes, func(r WindowCounts) Counts {
		return r.Counts
	}, func(r WindowCounts, counts Counts) WindowCounts {
		r.Counts = counts
		return r
	})
}

// SplitZones is Split for the totals of a zone.
func SplitZones(totals []ZoneCounts, maxBytes int) [][]ZoneCounts {
	return split(totals, maxBytes, func(z ZoneCounts) Counts {
		return z.Counts
	}, func(z ZoneCounts, counts Counts) ZoneCounts {
		z.Counts = counts
		return z
	})
}

func split[T any](reports []T, maxBytes int, countsOf func(T) Counts, with func(T, Counts) T) [][]T {
	var messages [][]T
	var message []T
	size := 0
	flush := func() {
		if len(message) > 0 {
			messages = append(messages, message)
		}
		message = nil
		size = 0
	}
	for _, r := range reports {
		counts := countsOf(r)
		piece := make(Counts)
		if size+pieceSize > maxBytes {
			flush()
		}
		size += pieceSize
		for _, ws := range slices.Sorted(maps.Keys(counts)) {
			entry := entrySizeOf(ws)
			if size+entry > maxBytes && len(message)+len(piece) > 0 {
				if len(piece) > 0 {
					message = append(message, with(r, piece))
				}
				flush()
				piece = make(Counts)
				size = pieceSize
			}
			piece[ws] = counts[ws]
			size += entry
		}
		message = append(message, with(r, piece))
	}
	flush()
	return messages
}

func entrySizeOf(ws waxwingpick.WorkspaceID) int {
	return entrySize + len(ws)
}
