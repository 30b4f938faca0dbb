package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Listing is the result of a conditional read of the membership list.
type Listing struct {
	// Members is nil if the list has not changed since the given tag.
	Members *wire.Members
	// Tag is the entity tag of this version of the list.
	Tag string
}

// ListIfChanged reads the membership list if its entity tag differs from tag. The
// condition saves traffic, because the list grows with the fleet and most reads
// find it unchanged.
func (m *Membership) ListIfChanged(ctx context.Context, tag string) (Listing, error) {
	req, err := m.base.New().Get("/v1/members").Request()
	if err != nil {
		return Listing{}, eris.Wrap(err, "building a membership request")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := m.client.Do(req.WithContext(ctx))
	if err != nil {
		return Listing{}, eris.Wrap(errors.Join(ErrUnavailable, err), "reading the membership list")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return Listing{Tag: tag}, nil
	case http.StatusOK:
	default:
		return Listing{}, eris.Wrapf(ErrRefused, "membership list returned HTTP status %d", resp.StatusCode)
	}
	var list wire.Members
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return Listing{}, eris.Wrap(errors.Join(ErrUnavailable, err), "decoding the membership list")
	}
	return Listing{Members: &list, Tag: resp.Header.Get("ETag")}, nil
}

// maxListBytes limits the size of the membership list.
const maxListBytes = 16 << 20
