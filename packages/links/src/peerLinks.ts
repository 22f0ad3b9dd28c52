/** Links of a process to its peers: opened on first use, shared by all callers, and reopened after they closed. */
import * as connect from './connect.js'
import * as links from './link.js'

/** Links of a process by peer id. */
export interface PeerLinks {
  /**
   * Returns an open link to a peer, dialling if there is none.
   * @param timeoutMs timeout of the dial; callers that join a dial share its timeout
   * @throws Error when the connection or handshake fails, or another peer has the address
   */
  get (id: string, address: string, timeoutMs?: number): Promise<links.Link>
  /** Returns an open link to a peer without dialling. */
  peek (id: string): links.Link | undefined
  /** Adds a link that the peer opened, so that both directions share it. */
  add (link: links.Link): void
  /** Closes all links. */
  close (): void
}

/** Creates the links of a process; none is opened yet. */
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

  const dial = async (id: string, address: string, timeoutMs: number | undefined): Promise<links.Link> => {
    try {
      const link = await connect.dial(address, cfg, timeoutMs)
      if (link.peer.id !== id) {
        link.close()
        throw new Error(`peer at ${address} is ${link.peer.id}, expected ${id}`)
      }
      add(link)
      return link
    } finally {
      dialling.delete(id)
    }
  }

  return {
    async get (id, address, timeoutMs) {
      const known = open.get(id)
      if (known?.isOpen() === true) return known
      let attempt = dialling.get(id)
      if (attempt === undefined) {
        attempt = dial(id, address, timeoutMs)
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
