/** The links of one process to its peers: dialled when first needed, shared by all callers, replaced after they end. */
import * as connect from './connect.js'
import * as links from './link.js'

/** The links of one process. */
export interface PeerLinks {
  /** @returns an open link to a peer, dialling if there is none. @throws Error when it cannot be reached */
  get (id: string, address: string): Promise<links.Link>
  /** @returns an open link to a peer, or undefined */
  peek (id: string): links.Link | undefined
  /** Takes a link that the peer opened, so that both directions share it. */
  add (link: links.Link): void
  /** Ends every link. */
  close (): void
}

/**
 * Creates a peer book.
 * @param cfg who we are and what to do with traffic
 * @returns the book
 */
export function createPeerLinks (cfg: connect.LinkSettings): PeerLinks {
  const open = new Map<string, links.Link>()
  const dialling = new Map<string, Promise<links.Link>>()
  let isClosed = false

  const add = (link: links.Link): void => {
    if (isClosed) {
      link.close()
      return
    }
    open.set(link.peer.id, link)
    void link.closed.then(() => {
      if (open.get(link.peer.id) === link) open.delete(link.peer.id)
    })
  }

  const dial = async (id: string, address: string): Promise<links.Link> => {
    try {
      const link = await connect.dial(address, cfg)
      if (link.peer.id !== id) {
        link.close()
        throw new Error(`${address} is ${link.peer.id} and not ${id}`)
      }
      add(link)
      return link
    } finally {
      dialling.delete(id)
    }
  }

  return {
    async get (id, address) {
      const known = open.get(id)
      if (known?.isOpen() === true) return known
      let attempt = dialling.get(id)
      if (attempt === undefined) {
        attempt = dial(id, address)
        dialling.set(id, attempt)
      }
      return await attempt
    },
    peek (id) {
      const known = open.get(id)
      return known?.isOpen() === true ? known : undefined
    },
    add,
    close () {
      isClosed = true
      for (const link of open.values()) link.close()
    }
  }
}
